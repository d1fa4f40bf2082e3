"""The store is silent for 4.2 s after jobs have begun to expire; see claim.txt."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import harness  # noqa: E402

STATUS_S = int(os.environ.get("STATUS_S", "20"))
RATE = 15  # jobs a second
SILENCE_SECONDS = 4.2
STEPS = [{"count": 1, "cpu": 1000, "mem_mb": 256, "est_runtime_ms": 2100},
         {"count": 1, "cpu": 1000, "mem_mb": 256, "est_runtime_ms": 2100, "after": [0]}]


def make(directory):
    system = harness.System(directory, executors=9, status_s=STATUS_S)
    for index in range(9):
        system.add_executor(index, 16_000, ["kind-a", f"r1-{index // 4}"])
    return system


def play(system):
    begin = time.monotonic()
    silence_at, traffic_end = STATUS_S + 15, STATUS_S + 35
    silenced = False
    number = 0
    while time.monotonic() < begin + traffic_end:
        if harness.TROUBLE and not silenced and time.monotonic() >= begin + silence_at:
            silenced = True
            system.record.say(f"the store is silent for {SILENCE_SECONDS} s")
            system.store.silence(SILENCE_SECONDS)
        number += 1
        system.submit_later(f"{number * 0x9e3779b97f4a7c15 % 2**64:016x}", "ms=2100", STEPS)
        time.sleep(max(0.0, begin + number / RATE - time.monotonic()))
    system.record.say("the traffic has ended")
    time.sleep(14)
    system.check_lost()
    reasons = {}
    for _, reason in system.store.refused:
        reasons[reason] = reasons.get(reason, 0) + 1
    system.record.say(f"transactions that the store refused: {reasons}")


harness.run_case(os.path.dirname(os.path.abspath(__file__)), make, play)
