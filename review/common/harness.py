"""Stand-ins of the platform's store, of executors, of the list of machines and of clients, and the
start of peridot-jobs with the command of deploy/system.toml, all on 127.0.0.1 and the real clock.

Each stand-in follows PROTOCOL.md. Where a limit of the store is exceeded (100 entries, 1 MB, 64 KiB a
row), the store refuses the whole call with 400 and applies none of it.
"""
import base64
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from urllib.parse import parse_qs, urlparse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST_HEADER = "pule25.example"
PREFIX = "/puxa400/"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be carried out."""


class Record:
    """Writes record.txt: one line for what was sent, answered or run, with the seconds since the begin."""

    def __init__(self, directory):
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(directory, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)

    def close(self):
        with self.lock:
            self.file.close()


class HttpServer:
    """HTTP/1.1 server with one thread a connection. handle(method, url, headers, body) returns a status
    and a JSON value, or None to close the connection without an answer."""

    def __init__(self, port, handle):
        self.handle = handle
        self.connections = set()
        self.lock = threading.Lock()
        self.open = True
        self.silent = False
        self.port = port
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", port))
        self.socket.listen(256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.open:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if not self.open:
                    connection.close()
                    return
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while self.open:
                line = stream.readline()
                if not line:
                    return
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    line = stream.readline().decode().strip()
                    if not line:
                        break
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = stream.read(length) if length else b""
                if self.silent:
                    threading.Event().wait()
                if not self.open:
                    return
                reply = self.handle(method, target, headers, json.loads(body) if body else None)
                if self.silent:
                    threading.Event().wait()
                if reply is None or not self.open:
                    return
                status, value = reply
                data = json.dumps(value).encode()
                connection.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                   % (status, len(data)) + data)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            stream.close()
            connection.close()

    def silence(self):
        """As when the machine loses power: nothing is answered on the open connections, and the packets of new
        ones are dropped, until restart() of the port. Returns the socket that takes the port meanwhile."""
        with self.lock:
            self.silent = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        port = self.port
        self.socket.close()
        hole = socket.socket()
        hole.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        hole.bind(("127.0.0.1", port))
        hole.listen(0)
        fillers = []
        for _ in range(3):  # fill the queue of connections that nobody takes
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
            fillers.append(filler)
        return [hole] + fillers

    def close(self):
        """As when the process ends: nothing listens, and all connections are reset or closed."""
        with self.lock:
            self.open = False
            connections = list(self.connections)
        for closing in [self.socket] + connections:
            try:
                closing.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.socket.close()


class Store:
    """The platform's metadata store: rows with versions, conditional transactions and a feed."""
    MAXIMUM_ENTRIES = 100
    MAXIMUM_BYTES = 1_000_000
    ROW_BYTES = 65_536
    TRANSACTION_SECONDS = 0.004

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.rows = {}  # (table, part, key) -> (value, version)
        self.version = 1
        self.changes = {}  # table -> [(version, part, key, value or None)]
        self.silent_until = 0.0
        self.refused = []  # reasons of refused transactions
        self.begin = time.monotonic()

    def clock(self):
        return int((time.monotonic() - self.begin) * 1000)

    def silence(self, seconds):
        """From now on, no call is answered or done for this time."""
        with self.lock:
            self.silent_until = time.monotonic() + seconds
            self.lock.notify_all()

    def put(self, table, key, value):
        """A write of the operator or of an executor, which the store always takes."""
        with self.lock:
            self.apply([(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())])

    def drop(self, table, key):
        with self.lock:
            self.apply([(table, "", key, None)])

    def apply(self, writes):
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[(table, part, key)] = (value, self.version)
            self.changes.setdefault(table, []).append((self.version, part, key, value))
        self.lock.notify_all()

    def row(self, table, part, key):
        value, version = self.rows.get((table, part, key), ("", 0))
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}

    def handle(self, method, target, _headers, body):
        silence = self.silent_until - time.monotonic()
        if silence > 0:
            time.sleep(silence)
            return None
        url = urlparse(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/v1/rows-tx" and method == "POST":
            time.sleep(self.TRANSACTION_SECONDS)
            return self.transact(body)
        if url.path == "/v1/rows-get":
            return self.read(query)
        if url.path == "/v1/rows-feed":
            return self.feed(query)
        return 404, {}

    def refuse(self, reason):
        self.refused.append((self.record.now(), reason))
        self.record.write(f"store refused a transaction: {reason}")
        return 400, {"error": reason}

    def transact(self, body):
        entries = body["expected"] + body["puts"] + body["remove"]
        if len(entries) > self.MAXIMUM_ENTRIES:
            return self.refuse(f"{len(entries)} entries, at most {self.MAXIMUM_ENTRIES}")
        if len(json.dumps(body)) > self.MAXIMUM_BYTES:
            return self.refuse("more than 1 MB")
        for put in body["puts"]:
            size = len(base64.b64decode(put["value"]))
            if size > self.ROW_BYTES:
                return self.refuse(f"row {put['table']}/{put['key']} of {size} bytes, at most {self.ROW_BYTES}")
        with self.lock:
            if time.monotonic() < self.silent_until:
                return None
            rows = [self.row(entry["table"], entry["part"], entry["key"]) for entry in body["expected"]]
            if any(row["ver"] != entry["ver"] for row, entry in zip(rows, body["expected"])):
                return 412, {"rows": [row for row in rows if row["ver"]], "ver": self.version, "now_ms": self.clock()}
            writes = [(put["table"], put["part"], put["key"], put["value"]) for put in body["puts"]]
            writes += [(drop["table"], drop["part"], drop["key"], None) for drop in body["remove"]]
            self.apply(writes)
            return 200, {"ver": self.version, "now_ms": self.clock()}

    def read(self, query):
        table, part, begin = query["table"], query.get("part", ""), query.get("from", "")
        end, limit = query.get("target"), min(500, int(query.get("limit", 500)))
        with self.lock:
            keys = sorted(k for t, p, k in self.rows
                          if t == table and p == part and k >= begin and (end is None or k < end))
            rows = [self.row(table, part, key) for key in keys[:limit]]
            return 200, {"rows": rows, "has_more": len(keys) > limit, "ver": self.version, "now_ms": self.clock()}

    def feed(self, query):
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + min(30_000, int(query["wait_ms"])) / 1000
        with self.lock:
            while True:
                if time.monotonic() < self.silent_until:
                    break
                found = []
                for change in reversed(self.changes.get(table, [])):
                    if change[0] <= after:
                        break
                    found.append(change)
                if found or time.monotonic() >= deadline:
                    rows = [{"table": table, "part": part, "key": key, "value": value or "", "ver": version,
                             **({"tombstone": True} if value is None else {})}
                            for version, part, key, value in reversed(found)]
                    return 200, {"rows": rows, "ver": self.version, "now_ms": self.clock()}
                self.lock.wait(deadline - time.monotonic())
        time.sleep(max(0.0, self.silent_until - time.monotonic()))
        return None


class Journal:
    """What runs where, over all executors: shared, so that two runs of one task are seen."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.RLock()
        self.running = {}  # task -> {(executor, incarnation, run)}
        self.noted_done = set()  # tasks whose end `done` was taken note of
        self.done = {}  # task -> time of its first end `done`
        self.broken = []  # (rule, text)
        self.starts = 0

    def breach(self, rule, text):
        self.broken.append((rule, text))
        self.record.say(f"RULE BROKEN {rule}: {text}")

    def started(self, task, run, executor):
        with self.lock:
            self.starts += 1
            others = self.running.setdefault(task, set())
            if others:
                where = ", ".join(f"run {r} on {e} (born {b})" for e, b, r in others)
                self.breach("TWICE", f"run {run} of task {task} starts on {executor.id} (born {executor.born}) "
                                     f"while {where} is running")
            if task in self.noted_done:
                self.breach("TWICE", f"run {run} of task {task} starts on {executor.id} after its end was taken note of")
            others.add((executor.id, executor.born, run))

    def ended(self, task, run, executor, how="lost"):
        with self.lock:
            if how == "done":
                self.done.setdefault(task, self.record.now())
            self.running.get(task, set()).discard((executor.id, executor.born, run))

    def is_running(self, job):
        with self.lock:
            return any(runs for task, runs in self.running.items() if runs and task.startswith(job + "."))


class Executor:
    """One executor: runs tasks for the time that `spec` names ("ms=800"), follows tokens, leases and stops."""

    def __init__(self, store, journal, identifier, port, capacity, labels, machine, pool="pool",
                 stop_seconds=0.15, hold_max_ms=10_000):
        self.store, self.journal, self.record = store, journal, journal.record
        self.id, self.port, self.pool, self.machine = identifier, port, pool, machine
        self.capacity, self.labels = capacity, labels
        self.stop_seconds, self.hold_max_ms = stop_seconds, hold_max_ms
        self.sizes = {}  # job -> its steps, set by the test, for the check of LIMIT
        self.lock = threading.Condition(threading.RLock())
        self.up = False
        self.seq = 0
        self.hole = []
        self.start()

    def start(self):
        """Begins a life under the same id: nothing runs, nothing of before is known."""
        with self.lock:
            self.born = int(time.time() * 1000)
            self.began = time.monotonic()
            self.token, self.runs, self.ends, self.highest, self.numbers = 0, {}, [], {}, 0
            self.lease_end = 0
            self.up = True
            self.seq = 0
        for entry in self.hole:
            entry.close()
        self.hole = []
        self.server = HttpServer(self.port, self.handle)
        self.register()
        threading.Thread(target=self.live, args=(self.born,), daemon=True).start()
        self.record.write(f"executor {self.id} started, born {self.born}, labels {self.labels}, capacity {self.capacity}")

    def crash(self, dark=False):
        """Ends the life. If it is dark, all that is sent to the executor gets no answer until start()."""
        with self.lock:
            self.up = False
            for task, run in list(self.runs):
                self.journal.ended(task, run, self)
            lost = len(self.runs)
            self.runs = {}
            self.lock.notify_all()
        if dark:
            self.hole = self.server.silence()
        else:
            self.server.close()
        self.record.write(f"executor {self.id} crashed{' (dark)' if dark else ''}, {lost} runs lost")

    def register(self):
        self.seq += 1
        self.store.put("servers", self.id, {
            "backend": self.pool, "address": f"127.0.0.1:{self.port}", "zone": "zone-a", "version": "1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "seq": self.seq, "born": self.born,
            "capacity": self.capacity, "labels": self.labels})

    def live(self, born):
        next_beat = time.monotonic() + 1.5
        while True:
            time.sleep(0.01)
            with self.lock:
                if not self.up or self.born != born:
                    return
                now = time.monotonic()
                for key, run in list(self.runs.items()):
                    if run["stop_at"] is not None and now >= run["stop_at"]:
                        self.end(key, "stopped")
                    elif now >= run["end_at"]:
                        self.end(key, "done")
                    elif self.clock() > self.lease_end:
                        self.end(key, "lapsed")
            if time.monotonic() >= next_beat:
                next_beat += 1.5
                if self.up and self.born == born:
                    self.register()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def end(self, key, how):
        task, run = key
        del self.runs[key]
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.numbers += 1
        self.ends.append([self.numbers, task, run, how, ""])
        self.journal.ended(task, run, self, how)
        self.record.write(f"executor {self.id} ended {task} run {run}: {how}")
        self.lock.notify_all()

    def handle(self, _method, target, headers, body):
        with self.lock:
            if not self.up:
                return None
            if headers.get("target-instance", self.id) != self.id:
                return 421, {}
            if body.get("fencing_token", 0) < self.token:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.token = body.get("fencing_token", 0)
            if target == "/v1/run-start":
                return self.run_start(body)
            if target == "/v1/run-stop":
                return self.run_stop(body)
            if target == "/v1/hold":
                return self.hold(body)
            return 404, {}

    def extend(self, body):
        if "deadline_ms" in body:
            self.lease_end = max(self.lease_end, min(body["deadline_ms"], self.clock() + self.hold_max_ms))

    def run_start(self, body):
        task, run = body["task"], body["run"]
        if (task, run) in self.runs:
            return 200, {"clock_ms": self.clock()}
        if run <= self.highest.get(task, 0):
            self.extend(body)
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if body["deadline_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.extend(body)
        duration = int(body["spec"].split("ms=")[1].split()[0]) / 1000
        self.runs[(task, run)] = {"end_at": time.monotonic() + duration, "stop_at": None}
        self.record.write(f"executor {self.id} started {task} run {run}")
        self.journal.started(task, run, self)
        self.check_start(task)
        return 200, {"clock_ms": self.clock()}

    def check_start(self, task):
        """Checks LIMIT and the label of ROUTE, for jobs whose steps the test has stored in sizes."""
        job, _, step, _ = task.split(".")
        if job not in self.sizes:
            return
        wanted = self.sizes[job][int(step)].get("required_label")
        if wanted and wanted not in self.labels:
            self.journal.breach("ROUTE", f"task {task}, which requires label {wanted}, starts on {self.id} "
                                         f"(born {self.born}) with labels {self.labels}")
        used = self.used()
        if used > self.capacity["cpu"]:
            self.journal.breach("LIMIT", f"task {task} starts on {self.id} (born {self.born}), which then runs "
                                         f"{used} of its {self.capacity['cpu']} thousandths of a core")

    def used(self):
        """What the runs take, in thousandths of a core."""
        with self.lock:
            names = [task.split(".") for task, _ in self.runs]
        return sum(self.sizes[job][int(step)]["cpu"] for job, _, step, _ in names if job in self.sizes)

    def run_stop(self, body):
        task, run = body["task"], body["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        found = self.runs.get((task, run))
        if found is not None and found["stop_at"] is None:
            found["stop_at"] = time.monotonic() + self.stop_seconds
            self.record.write(f"executor {self.id} stops {task} run {run}")
        return 200, {"clock_ms": self.clock()}

    def hold(self, body):
        born = self.born
        self.extend(body)
        with self.journal.lock:
            self.journal.noted_done.update(end[1] for end in self.ends
                                           if end[0] <= body["seen_upto"] and end[3] == "done")
        self.ends = [end for end in self.ends if end[0] > body["seen_upto"]]
        deadline = time.monotonic() + min(2000, body.get("wait_ms", 0)) / 1000
        while not self.ends and time.monotonic() < deadline:
            self.lock.wait(deadline - time.monotonic())
            if not self.up or self.born != born:
                return None
        running = [[task, run, "", 50] for task, run in self.runs]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ends[:500]}


def free_ports(count):
    """Free ports below the range from which the system takes ports of outgoing connections, so that none of them
    takes the port of an executor while that is down."""
    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="utf-8") as file:
        highest = int(file.read().split()[0]) - 1
    ports = []
    for port in random.sample(range(max(2000, highest - 20_000), highest), 5000):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


def http_call(port, method, path, body=None, timeout=3.0):
    """Returns status, decoded body and Retry-After; status 0 without an answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        headers = {"Host": HOST_HEADER, "Deadline": "3000", "Content-Type": "application/json"}
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else {}, float(response.getheader("Retry-After") or 0)
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}, 0.0
    finally:
        connection.close()


class System:
    """The platform, the executors and the project's processes."""

    def __init__(self, directory, executors, machines=3, status_s=120, pool="pool"):
        self.record = Record(directory)
        self.journal = Journal(self.record)
        self.temporary = tempfile.TemporaryDirectory(prefix="peridot-review-")
        self.processes = []
        self.store = Store(self.record)
        self.jobs = {}  # id -> {"sent", "accepted", "rejected", "steps"}
        self.jobs_lock = threading.Lock()
        ports = free_ports(2 + executors + 4 * machines)
        self.store_port, self.cloud_port = ports[:2]
        self.executor_ports, self.process_ports = ports[2:2 + executors], ports[2 + executors:]
        self.machines, self.status_s, self.pool = machines, status_s, pool
        self.executors = []
        HttpServer(self.store_port, self.store.handle)
        HttpServer(self.cloud_port, lambda *call: self.cloud(*call))
        self.store.put("op", "config", {
            "version": 3,
            "routes": [{"name": "checks", "hostname": HOST_HEADER, "prefix": PREFIX, "backend": pool,
                        "max_attempts": 3, "stretch": 1.6, "slo_ms": 600, "priority": 0}],
            "services": [{"name": pool, "rejects_overload": False, "standby": False}], "limits": {}})

    def add_executor(self, index, cpu, labels, **options):
        executor = Executor(self.store, self.journal, f"i-{index:010x}", self.executor_ports[index],
                            {"cpu": cpu, "mem_mb": 64_000, "gpus": 0}, labels, f"m-{index}", self.pool, **options)
        self.executors.append(executor)
        return executor

    def cloud(self, method, target, _headers, _body):
        """The list of machines. There is one pool, so that nothing is to be moved."""
        if method != "GET" or not target.startswith("/v1/machines"):
            return 400, {}
        return 200, {"next_token": "", "machines": [
            {"machine_id": entry.machine, "pool": entry.pool, "state": "up" if entry.up else "down", "zone": "zone-a",
             "labels": entry.labels, "capacity": entry.capacity, "id": entry.id} for entry in self.executors]}

    def launch(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["jobs"]["run"].split()
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} is missing; run the build of deploy/system.toml")
        self.fronts = []
        for index in range(self.machines):
            front, readiness, first, last = self.process_ports[4 * index:4 * index + 4]
            settings = {
                "host": f"edge-zone-a-{index + 1}", "data_centre": "zone-a", "callers": f"127.0.0.1:{front}",
                "readiness": f"127.0.0.1:{readiness}", "store": {"address": f"127.0.0.1:{self.store_port}"},
                "host_provider": f"127.0.0.1:{self.cloud_port}", "free_ports": [first, last], "grace_s": 6,
                "worker_lease_ms": 10000, "stop_ms": 200, "processor_share": 0.25, "processor_speed": 1,
                "holder_pause_ms": 3000, "configuration_ms": 2000, "maintenance_s": 2, "status_s": self.status_s}
            path = os.path.join(self.temporary.name, f"node{index}.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(settings, file)
            log = open(os.path.join(self.temporary.name, f"node{index}.log"), "w", encoding="utf-8")
            self.processes.append(subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                env={"PATH": os.environ.get("PATH", ""), "PERIDOTRUN_BOOT": path}))
            self.fronts.append((front, readiness))
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            ready = all(http_call(port, "GET", "/v1/readiness", timeout=1)[0] == 200 for _, port in self.fronts)
            if ready and self.log_count("event=scheduling-began"):
                return
            time.sleep(0.1)
        raise CannotRun("the processes did not become ready")

    def log_count(self, text):
        count = 0
        for index in range(len(self.processes)):
            with open(os.path.join(self.temporary.name, f"node{index}.log"), encoding="utf-8") as file:
                count += sum(text in line for line in file)
        return count

    def leader(self):
        """Index of the process that last began to schedule."""
        found = (-1.0, None)
        for index in range(len(self.processes)):
            path = os.path.join(self.temporary.name, f"node{index}.log")
            with open(path, encoding="utf-8") as file:
                if any("event=scheduling-began" in line for line in file):
                    found = max(found, (os.path.getmtime(path), index))
        return found[1]

    def submit(self, identifier, spec, steps, attempts=5, **more):
        """A client's job, with four retries under the same id at other nodes."""
        entry = {"steps": steps, "accepted": None, "sent": self.record.now(), "answers": []}
        with self.jobs_lock:
            self.jobs[identifier] = entry
        for executor in self.executors:
            executor.sizes[identifier] = steps
        for attempt in range(attempts):
            front = self.fronts[(int(identifier, 16) + attempt) % len(self.fronts)][0]
            status, _, retry_after = http_call(front, "POST", PREFIX + identifier,
                                               {"spec": spec, "steps": steps, **more})
            entry["answers"].append(status)
            self.record.write(f"client POST {identifier} attempt {attempt + 1} -> {status}")
            if 200 <= status < 300:
                entry["accepted"] = self.record.now()
                return True
            time.sleep(max(0.2, retry_after))
        return False

    def submit_later(self, identifier, spec, steps, **more):
        threading.Thread(target=self.submit, args=(identifier, spec, steps), kwargs=more, daemon=True).start()

    def state(self, identifier):
        for attempt in range(3):
            front = self.fronts[(int(identifier, 16) + attempt) % len(self.fronts)][0]
            status, body, _ = http_call(front, "GET", PREFIX + identifier)
            if status == 200:
                return body.get("state", "unreadable")
            if status == 410:
                return "unknown (410)"
        return "no answer"

    def may_be_forgotten(self, identifier):
        """Whether all tasks of the job ended `done` longer than status_s ago. Its state is owed no more."""
        ends = [self.journal.done.get(f"{identifier}.0.{step}.{index}")
                for step, entry in enumerate(self.jobs[identifier]["steps"]) for index in range(entry["count"])]
        return None not in ends and max(ends) + self.status_s < self.record.now()

    def check_lost(self, skip=()):
        """The last sentences of LOST: finish_s after the end of the traffic each accepted job is asked for, and a
        job may not have nothing running for 3 s while its task's turn has come, there is capacity for it twice
        over, and under half of the service's capacity is in use."""
        accepted = [name for name, job in self.jobs.items()
                    if job["accepted"] is not None and name not in skip and not self.may_be_forgotten(name)]
        self.record.say(f"accepted jobs whose state is owed: {len(accepted)}; asking for all of them")
        states = {name: self.state(name) for name in accepted}
        open_jobs = [name for name in accepted if states[name] != "completed"]
        for name in accepted:
            self.record.write(f"client GET {name} -> {states[name]}")
        counts = {}
        for state in states.values():
            counts[state] = counts.get(state, 0) + 1
        self.record.say(f"states: {counts}")
        for name in accepted:
            if states[name] in ("unknown (410)", "no answer") and not self.may_be_forgotten(name):
                self.journal.breach("LOST", f"accepted job {name}: {states[name]}")
        open_jobs = [name for name in open_jobs if not self.may_be_forgotten(name)]
        idle = set(open_jobs)
        highest_use = 0.0
        end = time.monotonic() + 3.2
        while time.monotonic() < end:
            idle = {name for name in idle if not self.journal.is_running(name)}
            used = sum(entry.used() for entry in self.executors)
            highest_use = max(highest_use, used / max(1, self.capacity()))
            time.sleep(0.05)
        idle = {name for name in idle if self.state(name) != "completed"}
        self.record.say(f"not completed: {len(open_jobs)}, of these with nothing running for 3 s: {len(idle)}; "
                        f"largest use of the service in that time: {highest_use:.2f} of its capacity")
        if idle and highest_use < 0.5:
            for name in sorted(idle)[:10]:
                self.record.write(f"job {name}: accepted at {self.jobs[name]['accepted']:.3f}, nothing runs")
            self.journal.breach("LOST", f"{len(idle)} accepted jobs have nothing running for 3 s beside idle executors, "
                                        f"e.g. {sorted(idle)[0]}")

    def capacity(self):
        """Capacity of the service, in thousandths of a core."""
        return sum(entry.capacity["cpu"] for entry in self.executors if entry.up)

    def exits(self):
        return [process.returncode for process in self.processes if process.poll() is not None]

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for index in range(len(self.processes)):
                with open(os.path.join(self.temporary.name, f"node{index}.log"), encoding="utf-8") as source:
                    with open(os.path.join(keep, f"node{index}.log"), "w", encoding="utf-8") as copy:
                        copy.write(source.read())
        self.temporary.cleanup()


def run_case(directory, make, play):
    """Runs a case. make(directory) returns the System, and play(system) causes the disruption and checks. Exit
    status: 1 if a rule was broken, 0 if all held, 2 if the case could not run."""
    system = None
    status = 2

    def interrupted(_number, _frame):
        raise CannotRun("the case was ended from outside")

    signal.signal(signal.SIGTERM, interrupted)
    signal.signal(signal.SIGINT, interrupted)
    try:
        system = make(directory)
        system.record.say(f"trouble: {'yes' if TROUBLE else 'no'}")
        system.launch()
        system.record.say("the processes are ready")
        play(system)
        rules = sorted({rule for rule, _ in system.journal.broken})
        system.record.say(f"starts of tasks: {system.journal.starts}; processes that ended: {len(system.exits())}; "
                          f"rules broken: {', '.join(rules) if rules else 'none'}")
        status = 1 if rules else 0
    except CannotRun as error:
        print(f"could not run: {error}", file=sys.stderr)
    except Exception as error:  # noqa: BLE001 - any other failure of the case is no finding
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
    finally:
        if system is not None:
            system.close()
            system.record.close()
    sys.stdout.flush()
    os._exit(status)
