"""Submits jobs to peridot-jobs processes, kills the one that runs the scheduler while jobs are in
progress, and checks through the interfaces for callers and workers that every accepted job completes
and that no task runs twice.

Usage: check-jobs.py PROGRAM PORT, where PROGRAM is the path of peridot-jobs. The store of the stand-in listens on PORT,
the other processes on the 125 ports after it.
"""
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

BASE_PORT = int(sys.argv[2])  # of the stand-in's store; the other ports follow
HOSTS = 3
JOBS = 24
TASKS = 4
TIMEOUT_SECONDS = 90  # for each condition; far longer than needed, so that slow machines pass as well


def call(port, method, path, body=None, headers=None):
    """Returns the status and the decoded body of the response; status 0 if there is none."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request(method, path, body, dict(headers or {}, Host="test.example"))
        response = connection.getresponse()
        return response.status, json.loads(response.read() or b"{}")
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()


def write_settings(directory, index):
    """Writes the settings file of a process and returns its path and the port for callers."""
    port = BASE_PORT + 100 + 10 * index
    path = os.path.join(directory, f"host{index}.json")
    with open(path, "w") as file:
        json.dump({"host": f"host{index}", "data_centre": "a", "callers": f"127.0.0.1:{port}",
                   "readiness": f"127.0.0.1:{port + 1}", "store": {"address": f"127.0.0.1:{BASE_PORT}"},
                   "free_ports": [port + 2, port + 9], "grace_s": 6, "worker_lease_ms": 6000, "stop_ms": 200,
                   "status_s": 120}, file)
    return path, port


def wait_for(condition, description):
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            sys.exit(f"failed: timed out after {TIMEOUT_SECONDS} s, waiting until {description}")
        time.sleep(0.05)


def read_log(directory, index):
    with open(os.path.join(directory, f"host{index}.log")) as file:
        return file.read()


def submit(ports, identifier):
    steps = [{"count": TASKS, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 300},
             {"count": 1, "cpu": 500, "mem_mb": 100, "est_runtime_ms": 300, "after": [0]}]
    body = json.dumps({"spec": "x", "steps": steps})
    for attempt in range(200):
        # A retry goes to the next host; the id makes it the same job.
        status, _ = call(ports[attempt % HOSTS], "POST", f"/checks/{identifier}", body)
        if status == 200:
            return
        time.sleep(0.1)
    sys.exit(f"failed: job {identifier} was not accepted in 200 attempts")


def main():
    program = sys.argv[1]
    processes = []
    script_directory = os.path.dirname(os.path.abspath(__file__))
    with tempfile.TemporaryDirectory() as directory:
        try:
            platform = subprocess.Popen([sys.executable, os.path.join(script_directory, "platform_standin.py"),
                                         str(BASE_PORT)], stdout=subprocess.PIPE)
            processes.append(platform)
            platform.stdout.readline()
            ports = []
            for index in range(HOSTS):
                path, port = write_settings(directory, index)
                ports.append(port)
                log = open(os.path.join(directory, f"host{index}.log"), "w")
                processes.append(subprocess.Popen([program, f"--settings={path}"], stdout=log))
            for port in ports:
                wait_for(lambda: call(port + 1, "GET", "/v1/readiness")[0] == 200, "every host is ready")
            check_jobs(ports, processes, directory)
        finally:
            for process in processes:
                process.kill()
                process.wait()


def check_jobs(ports, processes, directory):
    identifiers = [f"{index:016x}" for index in range(JOBS)]
    for identifier in identifiers[: JOBS // 2]:
        submit(ports, identifier)
    def scheduling_hosts():
        return [index for index in range(HOSTS) if "event=scheduling-began" in read_log(directory, index)]

    # Log lines are written shortly after their event.
    wait_for(scheduling_hosts, "a host runs the scheduler")
    scheduling = scheduling_hosts()
    assert len(scheduling) == 1, scheduling
    processes[1 + scheduling[0]].send_signal(signal.SIGKILL)
    print(f"killed=host{scheduling[0]}")
    for identifier in identifiers[JOBS // 2:]:
        submit(ports, identifier)
    submit(ports, identifiers[0])  # a late copy of an accepted job
    cancelled = "f" * 16
    submit(ports, cancelled)
    live_ports = [port for index, port in enumerate(ports) if index != scheduling[0]]
    wait_for(lambda: call(live_ports[0], "DELETE", f"/checks/{cancelled}")[0] == 200, "a cancellation is accepted")

    def completed():
        return all(call(live_ports[0], "GET", f"/checks/{identifier}")[1].get("state") == "completed"
                   for identifier in identifiers)

    wait_for(completed, "all jobs are completed")
    assert call(live_ports[1], "GET", f"/checks/{cancelled}")[1]["state"] in ("cancelled", "completed")
    assert call(live_ports[1], "GET", "/checks/" + "e" * 16)[0] == 410
    assert call(live_ports[1], "GET", "/unknown/")[0] == 404
    assert call(live_ports[1], "POST", "/checks/zzz", "{}")[0] == 400

    def first_step_ends_acknowledged():
        record = call(BASE_PORT, "GET", "/record")[1]
        done_tasks = set(record.get("done", []))
        return all(f"{identifier}.0.0.{task}" in done_tasks for identifier in identifiers for task in range(TASKS))

    wait_for(first_step_ends_acknowledged, "the ends of all first steps are acknowledged to the workers")
    record = call(BASE_PORT, "GET", "/record")[1]
    assert not record["violations"], record["violations"]
    print(f"jobs={len(identifiers)} starts={record['starts']} violations=0")
    processes[1 + (scheduling[0] + 1) % HOSTS].send_signal(signal.SIGTERM)
    assert processes[1 + (scheduling[0] + 1) % HOSTS].wait(TIMEOUT_SECONDS) == 0
    print("passed")


main()
