"""Poison: one job of twenty can never be done. Judges whether the jobs handed in afterwards run."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "shared-2"))
import platform2 as p2  # noqa: E402

CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpus": 0}
QUICK = {"count": 6, "cpu": 1800, "mem_mb": 5100, "est_runtime_ms": 800}
WIDE = {"count": 24, "cpu": 1800, "mem_mb": 15000, "est_runtime_ms": 800}
LASTING = {"count": 4, "cpu": 2600, "mem_mb": 17000, "est_runtime_ms": 700, "long_running": True, "max_per_server": 1}
POISON = int(os.environ.get("POISON_AT", "20"))


def job_id(number):
    return f"{0x5eed000000000000 + number:016x}"


def play(platform, start, trouble):
    executors = [platform.machines.add(f"m-{n}", "intake", CAPACITY, ["a", f"r{n % 2}"]) for n in range(4)]
    p2.configure(platform, [p2.route("form-check", "/forms/", "intake"),
                            p2.route("archive-sweep", "/sweeps/", "intake", stretch=2.2, slo_ms=2500)],
                 [{"name": "intake", "rejects_overload": False}])
    processes = [start(f"edge-{n}") for n in range(3)]
    if not p2.wait_until(lambda: all(process.ready() for process in processes) and p2.leader_of(processes), 15):
        raise p2.CouldNotRun("the processes aren't ready")
    client = p2.Client(platform, processes, prefix="/forms/")
    accepted = []

    def submit(number, spec, step, prefix="/forms/"):
        if client.submit(job_id(number), spec, [step], prefix)[0] == 200:
            accepted.append((job_id(number), prefix, step))

    submit(0, {"lasts": True}, LASTING, "/sweeps/")
    if not p2.wait_until(lambda: len(platform.running_of(job_id(0))) == 4, 10):
        raise p2.CouldNotRun("the job that lasts didn't start")
    time.sleep(2)
    begin = time.monotonic()
    for number in range(1, 21):  # 20 jobs in 3 s, one of them poison
        time.sleep(max(0, begin + number * 0.15 - time.monotonic()))
        poison = trouble and number == POISON
        platform.record.add(f"job {job_id(number)} is {'poison' if poison else 'sound'}")
        submit(number, {"ms": 800, "end": "failed" if poison else "done"}, WIDE if number == POISON else QUICK)
    time.sleep(4)
    for number in range(21, 27):
        submit(number, {"ms": 800, "end": "done"}, QUICK)
        time.sleep(0.5)
    platform.record.add("end of the traffic")
    time.sleep(p2.BOUNDS["finish_s"])
    broken = []
    states = {}
    for job, prefix, _ in accepted:
        status, reply = client.state(job, prefix)
        states[job] = reply.get("state")
        if status != 200:
            broken.append(f"LOST: {job} was accepted and isn't known: {status}")
    idle = {}  # job -> since when the condition of the rule holds
    until = time.monotonic() + 4
    while time.monotonic() < until:
        time.sleep(0.05)
        for job, _, step in accepted:
            if states[job] not in ("queued", "running") or step is LASTING:
                continue
            used = {executor.id: 0 for executor in executors}
            for key in list(platform.running):
                used[key[0]] += 2600 if key[1].startswith(job_id(0)) else 1800
            total = sum(used.values())
            room = [32000 - amount for amount in used.values() if 32000 - amount >= 2 * step["cpu"]]
            holds = not platform.running_of(job) and room and total < 0.5 * 32000 * len(executors)
            since = idle.setdefault(job, time.monotonic()) if holds else idle.pop(job, None)
            if holds and time.monotonic() - since >= 3:
                text = (f"LOST: {job} ({states[job]}, {len(platform.starts_of(job))} starts so far) has had nothing running "
                        f"for 3 s, {total / 1000:.1f} of 128 cores are in use")
                if not any(job in known for known in broken):
                    broken.append(text)
    return broken


p2.run_case(play, FOLDER)
