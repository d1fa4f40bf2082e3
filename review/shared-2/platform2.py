"""Stand-ins for the users' platform on loopback: store, executors, machines and the processes under review.

The stand-ins follow PROTOCOL.md. Every event that a rule is judged by is written to a record.
"""
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
BEGIN = time.monotonic()
USED_PORTS = set()
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_ms": 2000, "hold_max_ms": 10000,
          "stop_ms": 200, "gang_timeout_ms": 3000, "cancel_ms": 3000, "finish_s": 14, "status_s": 120,
          "migrate_s": 1.5, "maintenance_s": 2, "fencing_enforced": True, "lease_ttl_ms": 3000, "pace_ms": 100}


def now():
    """Seconds since the begin of the case."""
    return time.monotonic() - BEGIN


class Record:
    """Lines of record.txt."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, text):
        with self.lock:
            self.file.write(f"{now():9.3f} {text}\n")
            self.file.flush()


def free_port():
    """A port that no connection takes by itself before its process listens there."""
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            return port


class NoAnswer(Exception):
    """The call gets no answer; its connection delivers nothing further."""


def serve(handle):
    """Starts an HTTP server on a free port. handle takes method, URL, headers and body; returns status and reply."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def answer(self):
            length = int(self.headers.get("Content-Length", 0))
            data = self.rfile.read(length) if length else b""
            try:
                status, reply = handle(self.command, urlparse(self.path), self.headers, json.loads(data) if data else {})
            except NoAnswer:
                time.sleep(30)
                self.close_connection = True
                return
            text = json.dumps(reply).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)

        do_GET = do_POST = do_PUT = do_DELETE = answer

        def log_message(self, *arguments):
            pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 256

        def handle_error(self, request, address):
            pass  # connections of an ended process end with errors

    server = Server(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server.server_address[1]


class Store:
    """Rows with conditional transactions and a change feed."""

    TX_SECONDS = 0.004

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.rows = {}  # (table, part, key) -> (value, version)
        self.version = 1
        self.changes = []  # (version, table, part, key, removed)
        self.port = serve(self.handle)

    def put(self, table, key, value):
        """Writes a row of the operator or of an executor; the write is the acknowledgement."""
        text = value if isinstance(value, str) else base64.b64encode(json.dumps(value).encode()).decode()
        with self.lock:
            self.apply([(table, "", key, text)])

    def drop(self, table, key):
        with self.lock:
            self.apply([(table, "", key, None)])

    def get(self, table, part, key):
        with self.lock:
            value = self.rows.get((table, part, key))
        return None if value is None else json.loads(base64.b64decode(value[0]))

    def apply(self, writes):
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                if self.rows.pop((table, part, key), None) is None:
                    continue
            else:
                self.rows[(table, part, key)] = (value, self.version)
            self.changes.append((self.version, table, part, key, value is None))
        self.lock.notify_all()

    def row(self, table, part, key):
        value, version = self.rows.get((table, part, key), ("", 0))
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}

    def transact(self, body):
        entries = body.get("expected", []) + body.get("puts", []) + body.get("remove", [])
        if len(entries) > 100 or (len({entry["part"] for entry in entries}) > 1 and not body.get("across")):
            return 400, {}
        if any(entry["table"] in ("op", "servers") for entry in body.get("puts", []) + body.get("remove", [])):
            return 403, {}
        with self.lock:
            rows = [self.row(entry["table"], entry["part"], entry["key"]) for entry in body.get("expected", [])]
            if any(row["ver"] != entry["ver"] for row, entry in zip(rows, body.get("expected", []))):
                return 412, {"rows": [row for row in rows if row["ver"]], "ver": self.version, "now_ms": int(now() * 1000)}
            writes = [(put["table"], put["part"], put["key"], put["value"]) for put in body.get("puts", [])]
            writes += [(drop["table"], drop["part"], drop["key"], None) for drop in body.get("remove", [])]
            self.apply(writes)
            return 200, {"ver": self.version, "now_ms": int(now() * 1000)}

    def read_range(self, query):
        table, part, begin = query["table"][0], query.get("part", [""])[0], query.get("from", [""])[0]
        end, limit = query.get("target", [None])[0], min(500, int(query.get("limit", ["500"])[0]))
        with self.lock:
            keys = sorted(k for t, p, k in self.rows
                          if (t, p) == (table, part) and k >= begin and (end is None or k < end))
            rows = [self.row(table, part, key) for key in keys[:limit]]
            return 200, {"rows": rows, "has_more": len(keys) > limit, "ver": self.version, "now_ms": int(now() * 1000)}

    def read_changes(self, query):
        table, after = query["table"][0], int(query["after"][0])
        deadline = time.monotonic() + min(30000, int(query.get("wait_ms", ["0"])[0])) / 1000
        with self.lock:
            while True:
                changes = [change for change in self.changes if change[0] > after and change[1] == table]
                if changes or time.monotonic() >= deadline:
                    break
                self.lock.wait(deadline - time.monotonic())
            rows = []
            for version, _, part, key, removed in changes:
                row = dict(self.row(table, part, key), ver=version)
                if removed:
                    row.update(tombstone=True, value="")
                rows.append(row)
            return 200, {"rows": rows, "ver": self.version, "now_ms": int(now() * 1000)}

    def handle(self, method, url, headers, body):
        query = parse_qs(url.query, keep_blank_values=True)
        if url.path == "/v1/rows-tx":
            time.sleep(self.TX_SECONDS)
            return self.transact(body)
        if url.path == "/v1/rows-get":
            return self.read_range(query)
        if url.path == "/v1/rows-feed":
            return self.read_changes(query)
        return 404, {}


class Executor:
    """One life of a machine's executor. What a task does is told by the spec of its job: a JSON object with `ms`, the
    time that it works, `end`, how it ends, or `lasts`, which means that it works until it is stopped."""

    BEAT_SECONDS = 1.5
    counter = 0

    def __init__(self, platform, machine, pool, capacity, labels):
        Executor.counter += 1
        self.platform, self.machine, self.pool = platform, machine, pool
        self.capacity, self.labels = capacity, labels
        self.id = f"i-{Executor.counter:04x}{os.urandom(2).hex()}"
        self.born = int(time.time() * 1000)
        self.begin = time.monotonic()
        self.lock = threading.Condition()
        self.token, self.lease_end, self.seq = 0, 0, 0
        self.runs = {}  # (task, run) -> dict
        self.ends, self.seen, self.ended_runs = [], 0, {}
        self.gone = False
        self.port = serve(self.handle)
        threading.Thread(target=self.work, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.begin) * 1000) + 1000

    def describe(self):
        return {"backend": self.pool, "address": f"127.0.0.1:{self.port}", "zone": "a", "version": "1", "slots": 8,
                "state": "ready", "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels,
                "born": self.born, "seq": self.seq}

    def work(self):
        next_beat = 0
        while not self.gone:
            if time.monotonic() >= next_beat:
                next_beat = time.monotonic() + self.BEAT_SECONDS
                self.seq += 1
                self.platform.store.put("servers", self.id, self.describe())
            with self.lock:
                self.advance()
                self.lock.wait(0.01)

    def advance(self):
        """Ends the runs that are due. The lock is held."""
        if self.runs and self.clock() >= self.lease_end:
            for name in list(self.runs):
                self.end(name, "lapsed")
        for name, run in list(self.runs.items()):
            if run.get("stop_at") and time.monotonic() >= run["stop_at"]:
                self.end(name, "stopped")
            elif run["end_at"] and time.monotonic() >= run["end_at"]:
                self.end(name, run["how"])

    def end(self, name, how):
        run = self.runs.pop(name)
        self.ended_runs[name[0]] = max(name[1], self.ended_runs.get(name[0], 0))
        self.ends.append([len(self.ends) + 1, name[0], name[1], how, ""])
        self.platform.run_ended(self, name, how, run)
        self.lock.notify_all()

    def leave(self):
        """Everything that runs here terminates at once."""
        with self.lock:
            self.gone = True
            for name in list(self.runs):
                self.platform.run_ended(self, name, "killed", self.runs.pop(name))
            self.lock.notify_all()
        self.platform.store.drop("servers", self.id)

    def reply(self, status, **fields):
        return status, dict(fields, clock_ms=self.clock())

    def handle(self, method, url, headers, body):
        if self.gone:
            raise NoAnswer
        if headers.get("Target-Instance", self.id) != self.id:
            return 421, {}
        with self.lock:
            self.advance()
            if body.get("fencing_token", 0) < self.token:
                return self.reply(409, reason="fence")
            self.token = body.get("fencing_token", 0)
            if "deadline_ms" in body:
                end = min(body["deadline_ms"], self.clock() + BOUNDS["hold_max_ms"])
                late = end <= self.clock()
                self.lease_end = max(self.lease_end, end)
            if url.path == "/v1/run-start":
                return self.start(body, late)
            if url.path == "/v1/run-stop":
                return self.stop(body)
            if url.path == "/v1/pace":
                return self.reply(200)
            return self.hold(body)

    def start(self, body, late):
        name = (body["task"], body["run"])
        if name in self.runs:
            return self.reply(200)
        if body["run"] <= self.ended_runs.get(body["task"], 0):
            return self.reply(409, reason="old")
        if late:
            return self.reply(409, reason="late")
        what = json.loads(body["spec"])
        how, seconds = what.get("end", "done"), what.get("ms", 0) / 1000
        lasts = what.get("lasts", False)
        self.runs[name] = {"end_at": None if lasts else time.monotonic() + seconds, "how": how, "since": time.monotonic(),
                           "seconds": seconds, "lasts": lasts}
        self.platform.run_started(self, name, body)
        return self.reply(200)

    def stop(self, body):
        name = (body["task"], body["run"])
        if name in self.runs:
            self.runs[name].setdefault("stop_at", time.monotonic() + BOUNDS["stop_ms"] / 2000)
        else:
            self.ended_runs[body["task"]] = max(body["run"], self.ended_runs.get(body["task"], 0))
        return self.reply(200)

    def hold(self, body):
        self.seen = max(self.seen, body.get("seen_upto", 0))
        deadline = time.monotonic() + min(2000, body.get("wait_ms", 0)) / 1000
        while len(self.ends) <= self.seen and time.monotonic() < deadline and not self.gone:
            self.lock.wait(deadline - time.monotonic())
        running = []
        for (task, number), run in self.runs.items():
            age = time.monotonic() - run["since"]
            percent = min(100, int(age * 200)) if run["lasts"] else min(99, int(100 * age / max(run["seconds"], 0.001)))
            running.append([task, number, "", percent, 0])
        return self.reply(200, born=self.born, running=running, ended=[end for end in self.ends[:] if end[0] > self.seen][:500])


class Machines:
    """The interface for machines. `fault` may hold a call back: it is given the call, and returns the seconds after which
    the call is carried out without an answer, or nothing."""

    def __init__(self, platform):
        self.platform = platform
        self.lock = threading.RLock()
        self.machines = {}  # id -> dict
        self.fault = lambda path, body, headers: None
        self.port = serve(self.handle)

    def add(self, name, pool, capacity, labels):
        executor = Executor(self.platform, name, pool, capacity, labels)
        with self.lock:
            self.machines[name] = {"pool": pool, "state": "up", "labels": labels, "capacity": capacity,
                                   "executor": executor, "token": 0, "upkeeps": set()}
        return executor

    def executors(self):
        with self.lock:
            return [entry["executor"] for entry in self.machines.values() if entry["state"] == "up"]

    def handle(self, method, url, headers, body):
        if url.path == "/v1/machines":
            with self.lock:
                rows = [{"machine_id": name, "pool": entry["pool"], "state": entry["state"], "zone": "a",
                         "labels": entry["labels"], "capacity": entry["capacity"],
                         "id": entry["executor"].id if entry["state"] == "up" else ""}
                        for name, entry in sorted(self.machines.items())]
            return 200, {"machines": rows, "next_token": ""}
        delay = self.fault(url.path, body, headers)
        token, holder = int(headers.get("Fencing-Token", 0)), headers.get("Duty-Holder", "")
        if delay is not None:
            threading.Timer(delay, self.carry_out, (url.path, body, token, holder, " late")).start()
            raise NoAnswer
        return self.carry_out(url.path, body, token, holder, "")

    def carry_out(self, path, body, token, holder, note):
        with self.lock:
            entry = self.machines.get(body["machine_id"])
            if entry is None:
                return 400, {}
            if token < entry["token"]:
                return 409, {"reason": "fence"}
            entry["token"] = token
            upkeep = path == "/v1/machine-upkeep"
            if upkeep and body["wave"] in entry["upkeeps"] or not upkeep and entry["pool"] == body["pool"]:
                return 200, {}
            if entry["state"] != "up":
                return 409, {"reason": "busy"}
            entry["state"] = "upkeep" if upkeep else "moving"
            if upkeep:
                entry["upkeeps"].add(body["wave"])
                self.platform.upkeep_begun(body["machine_id"], body["wave"], f"holder {holder} token {token}{note}")
            else:
                entry["pool"] = body["pool"]
            executor = entry["executor"]
        executor.leave()
        threading.Timer(BOUNDS["maintenance_s" if upkeep else "migrate_s"], self.back, (body["machine_id"],)).start()
        return 200, {}

    def back(self, name):
        with self.lock:
            entry = self.machines[name]
            self.platform.record.add(f"machine {name} is up again")
            entry["executor"] = Executor(self.platform, name, entry["pool"], entry["capacity"], entry["labels"])
            entry["state"] = "up"


class Platform:
    """Everything outside the processes under review, and the record of what was sent, answered and run."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.lock = threading.Lock()
        self.running = {}  # (executor, task, run) -> body of the start
        self.history = []  # (time, what, executor, task, run)
        self.upkeeps = []  # (time, machine, wave)
        self.on_end = lambda executor, name, how: None
        self.store = Store(self.record)
        self.machines = Machines(self)

    def run_started(self, executor, name, body):
        with self.lock:
            self.running[(executor.id, *name)] = body
            self.history.append((now(), "started", executor.id, *name))
        self.record.add(f"run {name[0]} {name[1]} started on {executor.machine} {executor.id}")

    def run_ended(self, executor, name, how, run):
        with self.lock:
            self.running.pop((executor.id, *name), None)
            self.history.append((now(), how, executor.id, *name))
        self.record.add(f"run {name[0]} {name[1]} ended {how} on {executor.machine} {executor.id}")
        self.on_end(executor, name, how)

    def upkeep_begun(self, machine, wave, note):
        with self.lock:
            self.upkeeps.append((now(), machine, wave))
        self.record.add(f"upkeep of {machine} for wave {wave} begins, {note}")

    def starts_of(self, job):
        with self.lock:
            return [entry for entry in self.history if entry[1] == "started" and entry[3].startswith(job + ".")]

    def running_of(self, job):
        with self.lock:
            return [key for key in self.running if key[1].startswith(job + ".")]

    def running_on(self, executor):
        with self.lock:
            return [key for key in self.running if key[0] == executor.id]


def render(template, fields):
    """Fills in the template of the settings as DEPLOY.md tells."""
    def value(path):
        found = fields
        for part in path.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda match: match.group(2) if value(match.group(1)) not in (None, False, "") else "", template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\|json\}\}", lambda match: json.dumps(value(match.group(1))), text)


def deploy_command():
    """The words of `run` in the deploy file."""
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split()


class Process:
    """One process under review, on a machine of its own."""

    def __init__(self, platform, folder, name, advice=None, cloud=True):
        self.name = name
        self.front, self.readiness = free_port(), free_port()
        ports = [free_port(), free_port()]
        fields = {"node_name": name, "zone": "a", "listen": {"front": f"127.0.0.1:{self.front}",
                                                             "readiness": f"127.0.0.1:{self.readiness}"},
                  "platform": {"address": f"127.0.0.1:{platform.store.port}"}, "port_range": ports, "bounds": BOUNDS,
                  "cloud": {"address": f"127.0.0.1:{platform.machines.port}" if cloud else None}, "advice": advice,
                  "limits": {"cpu_share": 0.25, "cores": 1}}
        with open(os.path.join(ROOT, "platform/settings.json.template"), encoding="utf-8") as file:
            text = render(file.read(), fields)
        self.settings = os.path.join(folder, f"{name}.json")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        self.process = None

    def start(self):
        self.process = subprocess.Popen(deploy_command(), cwd=ROOT, stdout=self.log, stderr=self.log,
                                        env={"PATH": os.environ["PATH"], "PERIDOTRUN_BOOT": self.settings})
        return self

    def signal(self, number):
        self.process.send_signal(number)

    def ready(self):
        try:
            return http("GET", self.readiness, "/v1/readiness")[0] == 200
        except OSError:
            return False

    def text(self):
        with open(self.log.name, encoding="utf-8", errors="replace") as file:
            return file.read()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def http(method, port, path, body=None, headers=None, timeout=3.0):
    connection = HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, {"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else {}
    finally:
        connection.close()


class Client:
    """Hands in jobs and asks for them, each call at the next process until one has answered."""

    def __init__(self, platform, processes, host="test.example", prefix="/checks/"):
        self.platform, self.processes, self.host, self.prefix = platform, processes, host, prefix
        self.turn = 0

    def call(self, method, path, body=None, tries=5):
        """Status and reply of the first answer that is neither 429 nor 502 to 504; the last answer otherwise."""
        status, reply = 0, {}
        for attempt in range(tries):
            self.turn += 1
            process = self.processes[self.turn % len(self.processes)]
            try:
                status, reply = http(method, process.front, path, body, {"Host": self.host, "Deadline": "3000"})
            except OSError as error:
                status, reply = 0, {"error": type(error).__name__}
            self.platform.record.add(f"{method} {path} at {process.name}: {status} {json.dumps(reply)}")
            if status not in (0, 429, 502, 503, 504):
                break
            time.sleep(0.3)
        return status, reply

    def submit(self, job, spec, steps, prefix=None, **more):
        return self.call("POST", (prefix or self.prefix) + job, {"spec": json.dumps(spec), "steps": steps, **more})

    def state(self, job, prefix=None):
        return self.call("GET", (prefix or self.prefix) + job)

    def cancel(self, job, prefix=None):
        return self.call("DELETE", (prefix or self.prefix) + job)


def wait_until(condition, seconds):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return bool(condition())


def leader_of(processes):
    """The process that began to schedule last, by its log."""
    latest = None
    for process in processes:
        for line in process.text().splitlines():
            found = re.search(r"time=(\S+).*event=scheduling-began", line)
            if found and (latest is None or found.group(1) > latest[0]):
                latest = (found.group(1), process)
    return latest[1] if latest else None


def route(name, prefix, pool, **more):
    return {"name": name, "hostname": "test.example", "prefix": prefix, "backend": pool, "max_attempts": 3,
            "stretch": 1.6, "slo_ms": 600, "priority": 0, **more}


def configure(platform, routes, services, version=1):
    platform.store.put("op", "config", {"version": version, "routes": routes, "services": services, "limits": {}})


class CouldNotRun(Exception):
    pass


def end_early(number, frame):
    raise CouldNotRun(f"signal {number}")


def run_case(play, folder):
    """Runs play(platform, start, trouble). It returns the texts of what broke the rule. Exits as the issue tells."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end_early)  # the processes are ended all the same
    platform = Platform(folder)
    platform.record.add(f"trouble {int(trouble)}")
    started = []

    def start(name, scratch, **more):
        process = Process(platform, scratch, name, **more).start()
        started.append(process)
        return process

    code = 2
    with tempfile.TemporaryDirectory(prefix="review-") as scratch:
        try:
            broken = play(platform, lambda name, **more: start(name, scratch, **more), trouble)
            for text in broken:
                platform.record.add("BROKEN " + text)
                print("broken:", text)
            code = 1 if broken else 0
            if not broken:
                platform.record.add("the rule held")
                print("the rule held")
        except CouldNotRun as error:
            platform.record.add(f"could not run: {error}")
            print("could not run:", error)
        finally:
            for process in started:
                process.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for process in started:
                    with open(os.path.join(keep, process.name + ".log"), "w", encoding="utf-8") as file:
                        file.write(process.text())
    sys.stdout.flush()
    os._exit(code)
