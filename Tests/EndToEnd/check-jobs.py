"""Submits jobs to peridot-jobs processes, kills the scheduling one midway, and checks from the outside
that every accepted job is completed and that no task ran twice. Arguments: the program."""
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

BASE = 21500
HOSTS = 3
JOBS = 24
TASKS = 4
FINISH_SECONDS = 90  # far above what it takes, so that a slow machine changes no verdict


def call(port, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request(method, path, body, dict(headers or {}, Host="test.example"))
        response = connection.getresponse()
        return response.status, json.loads(response.read() or b"{}")
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()


def settings(directory, index):
    port = BASE + 100 + 10 * index
    path = os.path.join(directory, f"host{index}.json")
    with open(path, "w") as file:
        json.dump({"host": f"host{index}", "data_centre": "a", "callers": f"127.0.0.1:{port}",
                   "readiness": f"127.0.0.1:{port + 1}", "store": {"address": f"127.0.0.1:{BASE}"},
                   "free_ports": [port + 2, port + 9], "grace_s": 6, "worker_lease_ms": 6000, "stop_ms": 200,
                   "status_s": 120}, file)
    return path, port


def wait_for(condition, what):
    until = time.monotonic() + FINISH_SECONDS
    while not condition():
        if time.monotonic() > until:
            sys.exit(f"failed: {what}")
        time.sleep(0.05)


def log_of(directory, index):
    with open(os.path.join(directory, f"host{index}.log")) as file:
        return file.read()


def submit(ports, identifier):
    steps = [{"count": TASKS, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 300},
             {"count": 1, "cpu": 500, "mem_mb": 100, "est_runtime_ms": 300, "after": [0]}]
    body = json.dumps({"spec": "x", "steps": steps})
    for attempt in range(200):
        # The same job may be sent through several hosts; it stays one.
        status, _ = call(ports[attempt % HOSTS], "POST", f"/checks/{identifier}", body)
        if status == 200:
            return
        time.sleep(0.1)
    sys.exit(f"failed: {identifier} was not accepted")


def main():
    program = sys.argv[1]
    processes = []
    here = os.path.dirname(os.path.abspath(__file__))
    with tempfile.TemporaryDirectory() as directory:
        try:
            standin = subprocess.Popen([sys.executable, os.path.join(here, "platform_standin.py"), str(BASE)],
                                       stdout=subprocess.PIPE)
            processes.append(standin)
            standin.stdout.readline()
            ports = []
            for index in range(HOSTS):
                path, port = settings(directory, index)
                ports.append(port)
                log = open(os.path.join(directory, f"host{index}.log"), "w")
                processes.append(subprocess.Popen([program, f"--settings={path}"], stdout=log))
            for port in ports:
                wait_for(lambda: call(port + 1, "GET", "/v1/readiness")[0] == 200, "a host is ready")
            check(ports, processes, directory)
        finally:
            for process in processes:
                process.kill()
                process.wait()


def check(ports, processes, directory):
    identifiers = [f"{index:016x}" for index in range(JOBS)]
    for identifier in identifiers[: JOBS // 2]:
        submit(ports, identifier)
    def scheduling_hosts():
        return [index for index in range(HOSTS) if "event=scheduling-began" in log_of(directory, index)]

    # Lines are written a moment after their event.
    wait_for(scheduling_hosts, "a host schedules")
    scheduling = scheduling_hosts()
    assert len(scheduling) == 1, scheduling
    processes[1 + scheduling[0]].send_signal(signal.SIGKILL)
    print(f"killed=host{scheduling[0]}")
    for identifier in identifiers[JOBS // 2:]:
        submit(ports, identifier)
    submit(ports, identifiers[0])  # a late copy
    cancelled = "f" * 16
    submit(ports, cancelled)
    live = [port for index, port in enumerate(ports) if index != scheduling[0]]
    wait_for(lambda: call(live[0], "DELETE", f"/checks/{cancelled}")[0] == 200, "a job is cancelled")

    def completed():
        return all(call(live[0], "GET", f"/checks/{identifier}")[1].get("state") == "completed"
                   for identifier in identifiers)

    wait_for(completed, "all jobs are completed")
    assert call(live[1], "GET", f"/checks/{cancelled}")[1]["state"] in ("cancelled", "completed")
    assert call(live[1], "GET", "/checks/" + "e" * 16)[0] == 410
    assert call(live[1], "GET", "/unknown/")[0] == 404
    assert call(live[1], "POST", "/checks/zzz", "{}")[0] == 400

    def noted():
        record = call(BASE, "GET", "/record")[1]
        done = set(record.get("done", []))
        return all(f"{identifier}.0.0.{task}" in done for identifier in identifiers for task in range(TASKS))

    wait_for(noted, "every end is acknowledged")
    record = call(BASE, "GET", "/record")[1]
    assert not record["violations"], record["violations"]
    print(f"jobs={len(identifiers)} starts={record['starts']} violations=0")
    processes[1 + (scheduling[0] + 1) % HOSTS].send_signal(signal.SIGTERM)
    assert processes[1 + (scheduling[0] + 1) % HOSTS].wait(FINISH_SECONDS) == 0
    print("passed")


main()
