"""A wave of upkeep for all machines of a small service, each of which runs one task of a job that lasts. Judges whether jobs
that are handed in during the wave run."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "shared-2"))
import platform2 as p2  # noqa: E402

CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpus": 0}
QUICK = {"count": 6, "cpu": 1800, "mem_mb": 5100, "est_runtime_ms": 800}
LASTING = {"cpu": 2600, "mem_mb": 17000, "est_runtime_ms": 700, "long_running": True, "max_per_server": 1, "may_miss": 1}
SERVICES = {"premises": 3, "treasury": 4}  # machines of each
PERIOD_SECONDS = 24.0
CAP = 3


def job_id(number):
    return f"{0x5eed000000000000 + number:016x}"


def play(platform, start, trouble):
    executors = {service: [platform.machines.add(f"m-{service}-{n}", service, CAPACITY, ["a", f"r-{service}"])
                           for n in range(count)] for service, count in SERVICES.items()}
    p2.configure(platform, [p2.route(f"quick-{service}", f"/quick/{service}/", service) for service in SERVICES]
                 + [p2.route(f"lasting-{service}", f"/lasting/{service}/", service, stretch=2.2, slo_ms=2500)
                    for service in SERVICES],
                 [{"name": service, "rejects_overload": False} for service in SERVICES])
    processes = [start(f"edge-{n}") for n in range(3)]
    if not p2.wait_until(lambda: all(process.ready() for process in processes) and p2.leader_of(processes), 15):
        raise p2.CouldNotRun("the processes aren't ready")
    client = p2.Client(platform, processes)
    accepted = []

    def submit(number, spec, step, service, kind):
        prefix = f"/{kind}/{service}/"
        if client.submit(job_id(number), spec, [step], prefix)[0] == 200:
            accepted.append((job_id(number), prefix, step, kind))

    for number, (service, count) in enumerate(SERVICES.items()):
        submit(number, {"lasts": True}, dict(LASTING, count=count), service, "lasting")
        if not p2.wait_until(lambda: len(platform.running_of(job_id(number))) == count, 10):
            raise p2.CouldNotRun("a job that lasts didn't start")
    time.sleep(2)
    if trouble:
        wave = [executor.machine for executor in executors["premises"]]
        platform.record.add(f"wave 1: machines {wave}, cap {CAP}, period {PERIOD_SECONDS} s")
        platform.store.put("op", "wave/1", {"wave": 1, "machines": wave, "period_s": PERIOD_SECONDS, "cap": CAP})
    begin = time.monotonic()
    number = 10
    while time.monotonic() < begin + 22:  # a job each second
        submit(number, {"ms": 800}, QUICK, "premises", "quick")
        number += 1
        time.sleep(1)
    platform.record.add("end of the traffic")
    time.sleep(p2.BOUNDS["finish_s"])
    broken, states = [], {}
    for job, prefix, _, _ in accepted:
        status, reply = client.state(job, prefix)
        states[job] = reply.get("state")
        if status != 200:
            broken.append(f"LOST: {job} was accepted and isn't known: {status}")
    idle, said = {}, set()  # idle: job -> since when the condition of the rule holds
    until = time.monotonic() + 4
    while time.monotonic() < until:
        time.sleep(0.05)
        up = [executor for executor in platform.machines.executors() if executor.pool == "premises"]
        used = {executor.id: 0 for executor in up}
        for key in list(platform.running):
            if key[0] in used:
                used[key[0]] += LASTING["cpu"] if key[1].startswith(job_id(0)) else QUICK["cpu"]
        for job, _, step, kind in accepted:
            if kind == "lasting" or states[job] not in ("queued", "running"):
                continue
            room = any(32000 - amount >= 2 * step["cpu"] for amount in used.values())
            holds = not platform.running_of(job) and room and sum(used.values()) < 0.5 * 32000 * SERVICES["premises"]
            if not holds:
                idle.pop(job, None)
            elif time.monotonic() - idle.setdefault(job, time.monotonic()) >= 3 and job not in said:
                said.add(job)
                broken.append(f"LOST: {job} ({states[job]}, {len(platform.starts_of(job))} starts so far) has had nothing "
                              f"running for 3 s, {sum(used.values()) / 1000:.1f} of 96 cores are in use")
    platform.record.add(f"status of the wave: {platform.store.get('status', '', 'wave/1')}")
    return broken


p2.run_case(play, FOLDER)
