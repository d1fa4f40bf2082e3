"""Executors crash and start again under the id that they had; see claim.txt."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import harness  # noqa: E402

EXECUTORS = 7
DOWN_SECONDS = float(os.environ.get("DOWN", "0.8"))
STEPS = [{"count": 22, "cpu": 1800, "mem_mb": 256, "est_runtime_ms": 200}]


def make(directory):
    system = harness.System(directory, executors=EXECUTORS)
    for index in range(EXECUTORS):
        system.add_executor(index, 8_000, ["kind-a", f"r1-{index // 4}"])
    return system


def crash_in_turn(system, end):
    """Every 2.1 s, one executor of seven crashes and starts again, as a supervisor would start it."""
    index = 0
    while time.monotonic() < end:
        time.sleep(2.1 - DOWN_SECONDS)
        executor = system.executors[index % EXECUTORS]
        executor.crash(dark=True)
        time.sleep(DOWN_SECONDS)
        executor.start()
        index += 1


def play(system):
    begin = time.monotonic()
    end = begin + 60
    if harness.TROUBLE:
        threading.Thread(target=crash_in_turn, args=(system, end - 3), daemon=True).start()
    number = 0
    while time.monotonic() < end:
        number += 1
        system.submit_later(f"{number * 0x9e3779b97f4a7c15 % 2**64:016x}", "ms=200", STEPS)
        time.sleep(max(0.0, begin + number * 0.47 - time.monotonic()))
    system.record.say("the traffic has ended")
    time.sleep(6)


harness.run_case(os.path.dirname(os.path.abspath(__file__)), make, play)
