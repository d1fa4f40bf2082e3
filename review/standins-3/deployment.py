"""Starts the entry processes of a small deployment beside the stand-ins, and speaks as its clients."""
import http.client
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

import platform_standin
from platform_standin import Platform, seconds

REPOSITORY = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "case.example"
VARIABLE = "PERIDOTRUN_BOOT"


def command():
    """The command of the deploy file."""
    with open(os.path.join(REPOSITORY, "deploy", "system.toml")) as file:
        for line in file:
            if line.startswith("run = "):
                return shlex.split(json.loads(line.partition("=")[2].strip()))
    raise SystemExit(2)


def free_port_range(begin, count):
    """First of count ports that are free now, from begin on."""
    for begin in range(begin, 60000, count):
        sockets = []
        try:
            for port in range(begin, begin + count):
                sockets.append(socket.socket())
                sockets[-1].bind(("127.0.0.1", port))
            return begin
        except OSError:
            continue
        finally:
            for entry in sockets:
                entry.close()
    raise SystemExit(2)


def run_case(main):
    """Exits with the status of main(), and with 2 when it fails."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        status = main()
    except SystemExit as end:
        status = end.code
    except BaseException:  # a fault of the case is no broken rule
        traceback.print_exc()
        status = 2
    sys.stdout.flush()
    os._exit(status if status in (0, 1) else 2)


class Node:
    def __init__(self, deployment, index):
        self.deployment, self.name = deployment, f"edge-a-{index}"
        first = deployment.nodes[-1].base + 10 if deployment.nodes else 21000 + os.getpid() % 250 * 40
        self.base = free_port_range(first, 10)
        self.path = os.path.join(deployment.directory, f"{self.name}.json")
        self.log = os.path.join(deployment.directory, f"{self.name}.log")
        self.process = None
        settings = {
            "host": self.name, "data_centre": "a", "callers": f"127.0.0.1:{self.base}",
            "readiness": f"127.0.0.1:{self.base + 1}",
            "store": {"address": f"127.0.0.1:{deployment.platform.store.service.port}"},
            "free_ports": [self.base + 2, self.base + 9], "grace_s": 6,
            "worker_lease_ms": platform_standin.Bounds.hold_max_ms,
            "stop_ms": platform_standin.Bounds.stop_ms, "processor_share": 0.25, "processor_speed": 1,
            "memory_mb": 260, "descriptor_limit": 4100, "holder_pause_ms": 3000, "configuration_ms": 2000,
            "maintenance_s": 2, "status_s": 120}
        settings.update(deployment.settings)
        with open(self.path, "w") as file:
            json.dump(settings, file)

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment[VARIABLE] = self.path
        log = open(self.log, "a")
        self.process = subprocess.Popen(command(), cwd=REPOSITORY, env=environment, stdout=log, stderr=log)
        self.deployment.record.add(f"process {self.name} starts")

    def signal(self, number):
        self.deployment.record.add(f"disruption: {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def events(self, kind):
        with open(self.log) as file:
            return [line for line in file if f"event={kind}" in line]

    def call(self, method, path, body=None, headers=None, timeout=5):
        """Status and body of the answer; status 0 when there is none."""
        connection = http.client.HTTPConnection("127.0.0.1", self.base, timeout=timeout)
        try:
            text = json.dumps(body) if body is not None else None
            connection.request(method, path, text, {"Host": HOST, "Deadline": "3000",
                                                    "Content-Type": "application/json", **(headers or {})})
            response = connection.getresponse()
            raw = response.read()
            return response.status, json.loads(raw or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            return 0, {}
        finally:
            connection.close()

    def ready(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.base + 1, timeout=1)
        try:
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Deployment:
    """Context manager: stand-ins, entry processes and a temporary folder."""

    def __init__(self, folder, nodes=3, executors=4, routes=None, settings=None, machines=True, advice=None,
                 capacity=None, tenants=None):
        self.folder, self.settings = folder, dict(settings or {})
        self.platform = Platform()
        self.record = self.platform.record
        self.directory = tempfile.mkdtemp()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        if machines:
            self.settings["host_provider"] = f"127.0.0.1:{self.platform.cloud.port}"
        if advice:
            self.settings["advice"] = self.platform.do_add_advice(**advice)
        self.routes = routes or [{"name": "checks", "hostname": HOST, "prefix": "/checks/", "backend": "pool",
                                  "max_attempts": 3, "stretch": 1.6, "slo_ms": 600, "priority": 0}]
        self.config = {"version": 1, "routes": self.routes,
                       "services": [{"name": "pool", "rejects_overload": False}], "limits": {}}
        if tenants:
            self.config["tenants"] = tenants
        self.platform.do_put("op", "config", self.config)
        for index in range(executors):
            self.platform.do_add_executor(f"x{index}", capacity=capacity, labels=["kind-a", f"r{index // 2}"])
        self.nodes = []
        for index in range(nodes):
            self.nodes.append(Node(self, index))

    def __enter__(self):
        for node in self.nodes:
            node.start()
        deadline = time.monotonic() + 20
        while not all(node.ready() for node in self.nodes) or self.scheduler() is None:
            if time.monotonic() > deadline:
                print("the processes did not become ready", file=sys.stderr)
                self.close()
                raise SystemExit(2)
            time.sleep(0.05)
        return self

    def __exit__(self, *arguments):
        self.close()

    def close(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        self.record.write(os.path.join(self.folder, "record.txt"))
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)

    def scheduler(self):
        """The node that began to schedule last."""
        latest, found = 0, None
        for node in self.nodes:
            if node.process is None or node.process.poll() is not None:
                continue
            for line in node.events("scheduling-began"):
                epoch = int(line.split("epoch=")[1].split()[0])
                if epoch > latest:
                    latest, found = epoch, node
        return found

    def submit(self, identifier, steps, node, prefix="/checks/", extra=None, headers=None):
        """Hands a job in once. steps: members of the step; those that begin with "_" are for the executors."""
        spec, wire = [], []
        for step in steps:
            spec.append({"ms": step["_ms"], "cpu": step.get("cpu", 0),
                         "lasts": 1 if step.get("long_running") else 0,
                         "gang": step["count"] if step.get("gang") else 0,
                         "saves": 1 if step.get("saves_progress") else 0, "fails": step.get("_fails", 0), "fails_ms": step.get("_fails_ms", 0)})
            wire.append({name: value for name, value in step.items() if not name.startswith("_")})
        text = json.dumps(spec)
        self.platform.jobs.add(identifier, text)
        body = {"spec": text, "steps": wire, **(extra or {})}
        status, _ = node.call("POST", prefix + identifier, body, headers)
        self.record.add(f"POST {prefix}{identifier} at {node.name} -> {status}")
        return status

    def submit_until_accepted(self, identifier, steps, prefix="/checks/", extra=None, nodes=None, headers=None):
        nodes = nodes or self.nodes
        for attempt in range(60):
            node = nodes[attempt % len(nodes)]
            if self.submit(identifier, steps, node, prefix, extra, headers) == 200:
                return seconds()
            time.sleep(0.2)
        print("a job was not accepted", file=sys.stderr)
        raise SystemExit(2)

    def state(self, identifier, node, prefix="/checks/", headers=None):
        status, body = node.call("GET", prefix + identifier, None, headers)
        self.record.add(f"GET {prefix}{identifier} at {node.name} -> {status} {body.get('state', '')}")
        return status, body.get("state")
