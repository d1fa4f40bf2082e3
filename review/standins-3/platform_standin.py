"""Stand-ins for the users' platform: store, executors, machine list and placement advice.

Everything runs in one event loop, on loopback addresses. Executors keep the rules of the pages on
leases, fencing tokens, run numbers, ends and gangs. What they run is taken from the "spec" of the
job, a JSON text with one object for each step: ms (duration), cpu, mem_mb, lasts, gang, saves.
"""
import asyncio
import base64
import json
import random
import threading
import time
from urllib.parse import parse_qs, urlsplit

BEGIN = time.monotonic()


def seconds():
    """Time since the stand-ins were started."""
    return time.monotonic() - BEGIN


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self):
        self.lock = threading.Lock()
        self.lines = []
        self.starts = []  # (time, task, run, executor, life)
        self.ends = []  # (time, task, run, executor, how)
        self.noted = []  # (time, task, run, executor, how): seen_upto has reached the end
        self.violations = []  # (rule, text)

    def add(self, text):
        with self.lock:
            self.lines.append(f"{seconds():9.3f} {text}")

    def violate(self, rule, text):
        self.violations.append((rule, text))
        self.add(f"broken {rule}: {text}")

    def write(self, path):
        with self.lock, open(path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


class Disconnect(Exception):
    """The connection ends without an answer."""


class Service:
    """HTTP/1.1 server that passes requests to handle(method, path, query, body, headers)."""

    def __init__(self, handle):
        self.handle = handle
        self.connections = set()
        self.server = None
        self.port = 0

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Refuses connections and resets the open ones, as the end of a process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                raw = await reader.readexactly(length) if length else b""
                url = urlsplit(target)
                query = {name: values[0] for name, values in
                         parse_qs(url.query, keep_blank_values=True).items()}
                headers["gone"] = lambda: reader.at_eof() or writer.transport.is_closing()
                status, answer = await self.handle(method, url.path, query,
                                                   json.loads(raw) if raw else {}, headers)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (Disconnect, asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()


class Store:
    """The table service: versioned rows, conditional transactions and a feed of changes."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (value, version)
        self.version = 1
        self.changes = {}  # table -> [(version, part, key, removed, value)]
        self.changed = asyncio.Condition()
        self.service = Service(self.handle)

    def put_json(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        asyncio.get_running_loop().create_task(self.apply([(table, "", key, text)]))

    async def apply(self, writes):
        async with self.changed:
            self.version += 1
            for table, part, key, value in writes:
                if value is None:
                    self.rows.pop((table, part, key), None)
                else:
                    self.rows[(table, part, key)] = (value, self.version)
                self.changes.setdefault(table, []).append((self.version, part, key, value is None, value))
            self.changed.notify_all()
            return self.version

    def stamp(self):
        return {"ver": self.version, "now_ms": int(seconds() * 1000) + 100000}

    def row(self, table, part, key):
        value, version = self.rows.get((table, part, key), ("", 0))
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}

    async def handle(self, method, path, query, body, headers):
        await asyncio.sleep(0.004)
        if path == "/v1/rows-tx":
            entries = body["expected"] + body["puts"] + body["remove"]
            if len(entries) > 100 or len({entry["part"] for entry in entries}) > 1:
                return 400, {}
            if any(entry["table"] in ("op", "servers") for entry in body["puts"] + body["remove"]):
                return 403, {}
            if any(len(put["value"]) * 3 // 4 > 65536 for put in body["puts"]):
                return 413, {}
            rows = [self.row(entry["table"], entry["part"], entry["key"]) for entry in body["expected"]]
            if any(row["ver"] != entry["ver"] for row, entry in zip(rows, body["expected"])):
                return 412, {"rows": [row for row in rows if row["ver"]], **self.stamp()}
            writes = [(put["table"], put["part"], put["key"], put["value"]) for put in body["puts"]]
            writes += [(drop["table"], drop["part"], drop["key"], None) for drop in body["remove"]]
            await self.apply(writes)
            return 200, self.stamp()
        if path == "/v1/rows-get":
            table, part = query["table"], query.get("part", "")
            begin, end = query.get("from", ""), query.get("target")
            limit = min(int(query.get("limit", 500)), 500)
            keys = sorted(key for t, p, key in self.rows if (t, p) == (table, part)
                          and key >= begin and (end is None or key.encode("utf-8", "surrogateescape") <
                                                end.encode("utf-8", "surrogateescape")))
            rows = [self.row(table, part, key) for key in keys[:limit]]
            return 200, {"rows": rows, "has_more": len(keys) > limit, **self.stamp()}
        if path == "/v1/rows-feed":
            table, after = query["table"], int(query["after"])
            deadline = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                changes = [change for change in self.changes.get(table, [])[-5000:] if change[0] > after]
                left = deadline - time.monotonic()
                if changes or left <= 0:
                    break
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
            rows = [{"table": table, "part": part, "key": key, "value": value or "", "ver": version,
                     "tombstone": removed} for version, part, key, removed, value in changes]
            return 200, {"rows": rows, **self.stamp()}
        return 404, {}


class Jobs:
    """What clients have sent, by the id of the job: the steps that the spec describes."""

    def __init__(self):
        self.steps = {}
        self.specs = {}

    def add(self, identifier, spec):
        self.specs[identifier] = spec
        self.steps[identifier] = json.loads(spec)


class Bounds:
    hold_max_ms = 10000
    stop_ms = 200
    gang_timeout_ms = 3000
    checkpoint_s = 1.0
    heartbeat_ms = 1500


class Run:
    def __init__(self, task, run, step, saved):
        self.task, self.run, self.step, self.saved = task, run, step, saved
        self.begun = seconds()
        self.work_since = None if step.get("gang") else seconds()
        self.stopping = False
        self.worked = float(saved or 0)
        fails = step.get("fails_ms")  # a task that lasts fails after a time between these two
        self.fails_at = seconds() + random.uniform(*fails) / 1000 if fails else 0


class Executor:
    """One executor. Its lives follow one another under the same id and at the same address."""

    def __init__(self, platform, identifier, pool, machine, capacity, labels):
        self.platform, self.record, self.jobs = platform, platform.record, platform.jobs
        self.identifier, self.pool, self.machine = identifier, pool, machine
        self.capacity, self.labels = dict(capacity), list(labels)
        self.service = Service(self.handle)
        self.life = 0
        self.up = False
        self.silent = False  # requests are read, and nothing is done or answered
        self.state = "ready"
        self.born_shift_ms = 0  # how far the time of day of its machine is off
        self.late_orders = None  # function(path) -> seconds by which the order is carried out late
        self.seq = 0

    async def begin_life(self):
        self.life += 1
        self.born = int(time.time() * 1000) + self.born_shift_ms
        self.clock_begin = time.monotonic()
        self.token, self.deadline, self.running, self.ended = 0, 0, {}, []
        self.next_end, self.seen, self.highest = 1, 0, {}
        self.ended_event = asyncio.Event()
        self.up = True
        self.record.add(f"executor {self.identifier} life {self.life} begins born={self.born}")
        await self.service.listen(self.service.port)
        self.register()

    def end_life(self):
        self.up = False
        self.service.close()
        for run in list(self.running.values()):
            self.record.add(f"executor {self.identifier} life {self.life} crash ends {run.task} run {run.run}")
            self.platform.active_ended(self, run)
        self.running = {}

    def clock(self):
        return int((time.monotonic() - self.clock_begin) * 1000)

    def register(self):
        self.seq += 1
        self.platform.store.put_json("servers", self.identifier, {
            "backend": self.pool, "address": f"127.0.0.1:{self.service.port}", "zone": "a", "version": "1",
            "slots": 8, "state": self.state, "cold_left_ms": 0, "seq": self.seq, "capacity": self.capacity,
            "labels": self.labels, "born": self.born})

    def end(self, run, how):
        if self.running.pop((run.task, run.run), None) is None:
            return
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        if run.step.get("saves") and how != "done":
            run.saved = f"{run.worked + (seconds() - run.work_since if run.work_since else 0):.3f}"
        self.ended.append([self.next_end, run.task, run.run, how, run.saved or ""])
        self.next_end += 1
        self.record.ends.append((seconds(), run.task, run.run, self.identifier, how))
        self.record.add(f"end {run.task} run {run.run} {how} on {self.identifier}")
        self.platform.active_ended(self, run)
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    def tick(self):
        if not self.up:
            return
        if self.running and self.clock() > self.deadline:
            for run in list(self.running.values()):
                self.end(run, "lapsed")
        for run in list(self.running.values()):
            self.tick_run(run)

    def tick_run(self, run):
        now = seconds()
        gang = run.step.get("gang")
        if run.stopping:
            if now >= run.stopping:
                self.end(run, "stopped")
                if gang:
                    self.platform.break_gang(run)
            return
        if gang and run.work_since is None:
            members = self.platform.gang_members(run)
            if len(members) == gang:
                for _, member in members:
                    member.work_since = now
            elif now > run.begun + Bounds.gang_timeout_ms / 1000:
                self.end(run, "alone")
            return
        if run.step.get("lasts"):
            if run.fails_at and now >= run.fails_at:
                self.end(run, "failed")
            return
        worked = run.worked + now - run.work_since
        if worked >= run.step["ms"] / 1000:
            if gang:
                for executor, member in self.platform.gang_members(run):
                    executor.end(member, "done")
            else:
                self.end(run, "failed" if run.step.get("fails") else "done")
        elif run.step.get("saves") and worked > float(run.saved or 0) + Bounds.checkpoint_s:
            run.saved = f"{worked:.3f}"

    def lists(self):
        running = []
        for run in self.running.values():
            work = 0 if run.work_since is None else run.worked + seconds() - run.work_since
            percent = 100 if run.step.get("lasts") and work > 0.3 else \
                min(99, int(work * 100000 / max(run.step["ms"], 1)))
            running.append([run.task, run.run, run.saved or "", percent, run.step.get("cpu", 0)])
        return running, self.ended[:500]

    async def handle(self, method, path, query, body, headers):
        await asyncio.sleep(0.001)
        if self.silent:
            await asyncio.sleep(3600)
        if not self.up:
            raise Disconnect
        life = self.life
        if headers.get("target-instance", self.identifier) != self.identifier:
            return 421, {}
        late = self.late_orders(path) if self.late_orders and path != "/v1/hold" else None
        if late:
            asyncio.get_running_loop().create_task(self.carry_out_late(late, path, body, life))
            await asyncio.sleep(3600)
        status, answer = await self.order(path, body)
        if self.silent:
            await asyncio.sleep(3600)
        if not self.up or self.life != life:
            raise Disconnect
        answer["clock_ms"] = self.clock()
        answer["born"] = self.born
        return status, answer

    async def carry_out_late(self, late, path, body, life):
        await asyncio.sleep(late)
        if self.up and self.life == life:
            self.record.add(f"late order {path} {body.get('task')} run {body.get('run')} on {self.identifier}")
            await self.order(path, body)

    async def order(self, path, body):
        self.tick()
        if body.get("fencing_token", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = max(self.token, body.get("fencing_token", 0))
        if path == "/v1/run-start":
            return self.start(body)
        if path == "/v1/run-stop":
            return self.stop(body)
        if path == "/v1/pace":
            return 200, {}
        return await self.hold(body)

    def extend(self, body):
        if "deadline_ms" in body:
            self.deadline = max(self.deadline, min(body["deadline_ms"], self.clock() + Bounds.hold_max_ms))

    def start(self, body):
        task, number = body["task"], body["run"]
        if (task, number) in self.running:
            self.extend(body)
            return 200, {}
        if number <= self.highest.get(task, 0):
            self.extend(body)
            return 409, {"reason": "old"}
        if body["deadline_ms"] <= self.clock():
            return 409, {"reason": "late"}
        if not self.platform.ticket_valid(self, task, body.get("ticket")):
            return 409, {"reason": "ticket"}
        self.extend(body)
        identifier, _, step, _ = task.split(".")
        steps = self.jobs.steps.get(identifier)
        if steps is None or self.jobs.specs[identifier] != body["spec"]:
            self.record.violate("UNASKED", f"{task} was sent by no client, or with another spec")
            return 400, {}
        run = Run(task, number, steps[int(step)], body.get("saved", ""))
        self.running[(task, number)] = run
        self.record.starts.append((seconds(), task, number, self.identifier, self.life))
        self.record.add(f"start {task} run {number} on {self.identifier} token {body['fencing_token']}")
        self.platform.active_begun(self, run)
        return 200, {}

    def stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get((task, number))
        if run and not run.stopping:
            run.stopping = seconds() + Bounds.stop_ms / 2000
        return 200, {}

    async def hold(self, body):
        self.extend(body)
        seen = body.get("seen_upto", 0)
        for number, task, run, how, _ in self.ended:
            if number <= seen:
                self.record.noted.append((seconds(), task, run, self.identifier, how))
        self.ended = [end for end in self.ended if end[0] > seen]
        deadline = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        life = self.life
        while not self.ended and time.monotonic() < deadline and self.up and self.life == life:
            try:
                await asyncio.wait_for(self.ended_event.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                pass
        running, ended = self.lists()
        return 200, {"running": running, "ended": ended}


class Advice:
    """The placement advice service: one call at a time, in turn, and 429 when 32 wait."""

    def __init__(self, platform, decide_ms, each_ms, valid_ms):
        self.platform, self.decide_ms, self.each_ms, self.valid_ms = platform, decide_ms, each_ms, valid_ms
        self.service = Service(self.handle)
        self.lock = asyncio.Lock()
        self.waiting = 0
        self.granted = {}  # (step, executor, life) -> (ticket, end of validity)
        self.calls = self.answered = self.refused = self.too_late = 0
        # The pages let each call have its turn. For comparison: calls whose caller has left have none.
        self.forgets_left_calls = False

    async def handle(self, method, path, query, body, headers):
        self.calls += 1
        if self.waiting >= 32:
            self.refused += 1
            return 429, {}
        self.waiting += 1
        try:
            async with self.lock:
                if self.forgets_left_calls and headers["gone"]():
                    raise Disconnect
                await asyncio.sleep((self.decide_ms + self.each_ms * len(body["workers"])) / 1000)
        finally:
            self.waiting -= 1
        rows = []
        self.record_call(headers)
        for identifier in body["workers"]:
            executor = self.platform.executors.get(identifier)
            if executor:
                ticket = f"t{len(self.granted)}"
                self.granted[(body["step"], identifier, executor.life, ticket)] = \
                    seconds() + self.valid_ms / 1000
                rows.append([identifier, ticket])
        self.answered += 1
        return 200, {"granted": rows}


    def record_call(self, headers):
        if headers["gone"]():
            self.too_late += 1


class Platform:
    """All stand-ins. Methods with the prefix "do_" may be called from other threads."""

    def __init__(self):
        self.record, self.jobs = Record(), Jobs()
        self.executors = {}
        self.active = {}  # task -> [(executor, run)]
        self.finished = {}  # task -> time of an end "done"
        self.advice = None
        self.advice_routes = set()  # ids of jobs whose starts need a ticket
        self.machines = True
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.run_loop, daemon=True).start()
        self.call(self.begin())

    def run_loop(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    async def begin(self):
        self.store = Store(self.record)
        await self.store.service.listen()
        self.cloud = Service(self.list_machines)
        await self.cloud.listen()
        self.loop.create_task(self.tick())

    async def tick(self):
        next_beat = 0
        while True:
            await asyncio.sleep(0.02)
            for executor in list(self.executors.values()):
                executor.tick()
            if time.monotonic() >= next_beat:
                next_beat = time.monotonic() + Bounds.heartbeat_ms / 1000
                for executor in self.executors.values():
                    if executor.up and not executor.silent:
                        executor.register()

    async def list_machines(self, method, path, query, body, headers):
        await asyncio.sleep(0.004)
        if path != "/v1/machines":
            return 409, {"reason": "busy"}
        rows = [{"machine_id": e.machine, "pool": e.pool, "state": "up" if e.up else "down", "zone": "a",
                 "labels": e.labels, "capacity": e.capacity, "id": e.identifier}
                for e in self.executors.values()]
        return 200, {"machines": rows, "next_token": ""}

    # Runs of all executors.

    def active_begun(self, executor, run):
        others = self.active.setdefault(run.task, [])
        if others:
            self.record.violate("TWICE", f"{run.task} run {run.run} started on {executor.identifier} while run "
                                f"{others[0][1].run} is at work on {others[0][0].identifier}")
        others.append((executor, run))

    def active_ended(self, executor, run):
        entries = self.active.get(run.task, [])
        self.active[run.task] = [entry for entry in entries if entry[1] is not run]

    def gang_members(self, run):
        prefix = run.task.rsplit(".", 1)[0] + "."
        return [(executor, other) for task, entries in self.active.items() if task.startswith(prefix)
                for executor, other in entries if other.run == run.run and not other.stopping]

    def break_gang(self, run):
        for executor, member in self.gang_members(run):
            executor.end(member, "broken")

    def ticket_valid(self, executor, task, ticket):
        identifier, occurrence, step, _ = task.split(".")
        if identifier not in self.advice_routes:
            return True
        key = (f"{identifier}.{occurrence}.{step}", executor.identifier, executor.life, ticket)
        return self.advice.granted.get(key, 0) >= seconds()

    # Control, from the thread of the case.

    def do_add_executor(self, identifier, pool="pool", capacity=None, labels=("kind-a", "r1")):
        capacity = capacity or {"cpu": 8000, "mem_mb": 16000, "gpus": 0}

        async def add():
            executor = Executor(self, identifier, pool, "m-" + identifier, capacity, labels)
            self.executors[identifier] = executor
            await executor.begin_life()
        self.call(add())
        return self.executors[identifier]

    def do_crash(self, identifier):
        async def crash():
            self.executors[identifier].end_life()
        self.record.add(f"disruption: executor {identifier} crashes")
        self.call(crash())

    def do_restart(self, identifier):
        self.call(self.executors[identifier].begin_life())

    def do_put(self, table, key, value):
        async def put():
            self.store.put_json(table, key, value)
        self.call(put())

    def do_add_advice(self, decide_ms, each_ms, valid_ms):
        async def add():
            self.advice = Advice(self, decide_ms, each_ms, valid_ms)
            await self.advice.service.listen()
        self.call(add())
        return f"127.0.0.1:{self.advice.service.port}"
