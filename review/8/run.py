"""The store does the writes of one submission late and leaves them unanswered. The client cancels the job meanwhile. Judges
whether a task of the job starts after its cancelling was acknowledged."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "shared-2"))
import platform2 as p2  # noqa: E402

LATE_SECONDS = 6.0  # the pages: 1 to 6 s later
LOST_SECONDS = 1.2  # length of the disruption; the pages: 4.5 s
SHARE = 0.35  # of the writes in that time, at most
JOB = "5eed000000000001"
CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpus": 0}


class LateStore(p2.Store):
    """Does writes that name the job late, as long as `late` is set and no more than their share is reached."""

    late = False
    writes, delayed = 0, 0

    def handle(self, method, url, headers, body):
        if url.path == "/v1/rows-tx" and self.late:
            self.writes += 1
            if any(put["key"] == JOB for put in body.get("puts", [])):
                self.delayed += 1
                self.record.add(f"write of the submission gets no answer and is done {LATE_SECONDS} s later")
                threading.Timer(LATE_SECONDS, self.do_late, (body,)).start()
                raise p2.NoAnswer
        return super().handle(method, url, headers, body)

    def do_late(self, body):
        self.record.add(f"late write of the submission: {self.transact(body)[0]}")


p2.Store = LateStore


def play(platform, start, trouble):
    for number in range(3):
        platform.machines.add(f"m-{number}", "treasury", CAPACITY, ["a", "r1"])
    p2.configure(platform, [p2.route("fee-verify", "/fees/", "treasury", priority=1, max_attempts=2)],
                 [{"name": "treasury", "rejects_overload": False}])
    processes = [start(f"edge-{n}") for n in range(3)]
    if not p2.wait_until(lambda: all(process.ready() for process in processes) and p2.leader_of(processes), 15):
        raise p2.CouldNotRun("the processes aren't ready")
    client = p2.Client(platform, processes, prefix="/fees/")
    other = p2.Client(platform, processes, prefix="/fees/")
    step = {"count": 2, "cpu": 3800, "mem_mb": 7800, "est_runtime_ms": 2100}
    stop = threading.Event()

    def traffic():  # other clients hand in jobs all the while
        number = 0x100
        while not stop.wait(0.25):
            number += 1
            other.submit(f"{0x5eed000000000000 + number:016x}", {"ms": 300}, [step])

    threading.Thread(target=traffic, daemon=True).start()
    time.sleep(1)
    platform.store.late = trouble
    begin = p2.now()
    status, _ = client.call("POST", "/fees/" + JOB, {"spec": '{"ms": 2100}', "steps": [step]}, tries=1)
    time.sleep(max(0, begin + LOST_SECONDS - p2.now()))
    platform.store.late = False
    end = p2.now()
    store = platform.store
    if trouble:
        platform.record.add(f"the disruption lasted {end - begin:.2f} s, {store.delayed} of {store.writes} writes were late")
        if not store.delayed or store.delayed > SHARE * store.writes:
            raise p2.CouldNotRun("the share of late writes isn't as planned")
    time.sleep(0.3)
    cancelled, _ = client.cancel(JOB)
    acknowledged = p2.now()
    platform.record.add(f"submission: {status}, cancelling: {cancelled}")
    if cancelled not in (200, 410):
        raise p2.CouldNotRun("the cancelling wasn't acknowledged")
    stop.set()
    time.sleep(10)
    client.state(JOB)
    time.sleep(1)
    broken = []
    for at, _, executor, task, run in platform.starts_of(JOB):
        in_touch = not trouble or at > end + p2.BOUNDS["contact_ms"] / 1000
        if in_touch and at > acknowledged + p2.BOUNDS["cancel_ms"] / 1000:
            broken.append(f"UNASKED: {task} run {run} started on {executor} {at - acknowledged:.1f} s after the cancelling of its "
                          f"job was acknowledged with {cancelled}")
    return broken


p2.run_case(play, FOLDER)
