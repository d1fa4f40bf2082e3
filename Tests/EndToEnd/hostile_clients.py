"""Plays a crowd of hostile clients of one kind against a peridot-jobs process, at a queue's path, at a path without a
route and at the readiness address. Checks that the process lives, that its memory and descriptors stay below the limits
in its settings, that an ordinary request is answered afterwards, and that jobs accepted before are completed.

Usage: hostile_clients.py PROGRAM PORT KIND, where the store of the stand-in listens on PORT and the other processes on
the 125 ports after it; or hostile_clients.py --list, which prints the kinds.
"""
import errno
import http.client
import itertools
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import time

# Two fifths of the memory and a tenth of the descriptors of the smallest host, so that a small crowd is enough.
MEMORY_MB = 64
DESCRIPTOR_LIMIT = 400
CLIENTS = 300  # fewer than there are descriptors; their bodies are more than the memory
MANY_CLIENTS = 600  # more than there are descriptors
CONNECTIONS_PER_CLIENT = 3  # a client whose connection was closed opens another
HOLD_SECONDS = 4  # longer than the time limit for a request, so that clients meet it
PAUSE_SECONDS = 0.2  # between the pieces of slow senders and readers
BODY_BYTES = 262_000  # below max_body_bytes
HEADER_BYTES = 15_000  # below max_header_bytes
TIMEOUT_SECONDS = 90  # for each condition; far longer than needed, so that slow machines pass as well
PAUSE = b""  # a sender waits before its next piece


def head(path, *fields, method="POST"):
    return "\r\n".join([f"{method} {path} HTTP/1.1", "Host: test.example", *fields, "", ""]).encode()


def whole_request(path, body):
    return [head(path, f"Content-Length: {len(body)}") + body]


def chunk(size):
    return b"%x\r\n%b\r\n" % (size, b"x" * size)


def unfinished_body(path):
    return [head(path, f"Content-Length: {BODY_BYTES}") + b"x" * (BODY_BYTES - 10)]


def small_pieces(path):
    return itertools.chain([head(path, f"Content-Length: {BODY_BYTES}")], [b"x" * 1000] * (BODY_BYTES // 1000 - 1))


def unfinished_chunks(path):
    return itertools.chain([head(path, "Transfer-Encoding: chunked")], [chunk(1000)] * (BODY_BYTES // 1000))


def oversized_body(path):
    return itertools.chain([head(path, "Content-Length: 50000000")], itertools.repeat(b"x" * 100_000, 500))


def oversized_chunks(path):
    return itertools.chain([head(path, "Transfer-Encoding: chunked")], itertools.repeat(chunk(100_000), 500))


def header_fields(path):
    return [head(path, *["a:b"] * (HEADER_BYTES // 5))]


def json_members(path):
    return whole_request(path, b'{"steps":[],' + b",".join(b'"%x":0' % i for i in range(BODY_BYTES // 10)) + b"}")


def json_steps(path):
    return whole_request(path, b'{"steps":[' + b",".join([b"{}"] * (BODY_BYTES // 3 - 10)) + b"]}")


def json_step_members(path):
    return whole_request(path, b'{"steps":[' + b",".join([b'{"a":1}'] * (BODY_BYTES // 8 - 10)) + b"]}")


def pipelined(path):
    return itertools.repeat(head(path, method="GET") * 50, 100)


def slowly_after(text, size):
    """The first bytes at once and the others one by one."""
    rest = ((PAUSE, text[index:index + 1]) for index in range(size, len(text)))
    return itertools.chain([text[:size]], itertools.chain.from_iterable(rest))


def slow_headers(path):
    return slowly_after(head(path, "Content-Length: 2"), 10)


def slow_bodies(path):
    return slowly_after(head(path, f"Content-Length: {BODY_BYTES}") + b"x" * BODY_BYTES, BODY_BYTES - 1000)


def half_way(path):
    return [head(path, f"Content-Length: {BODY_BYTES}") + b"x" * (BODY_BYTES // 2)]


def silent(_):
    return []


# By name: the number of clients, the pieces that each sends, and what it reads of the answers.
KINDS = {
    "unfinished-body": (CLIENTS, unfinished_body, "all"),
    "small-pieces": (CLIENTS, small_pieces, "all"),
    "unfinished-chunks": (CLIENTS, unfinished_chunks, "all"),
    "oversized-body": (CLIENTS, oversized_body, "all"),
    "oversized-chunks": (CLIENTS, oversized_chunks, "all"),
    "header-fields": (CLIENTS, header_fields, "all"),
    "json-members": (CLIENTS, json_members, "all"),
    "json-steps": (CLIENTS, json_steps, "all"),
    "json-step-members": (CLIENTS, json_step_members, "all"),
    "pipelined": (CLIENTS, pipelined, "nothing"),
    "slow-bodies": (CLIENTS, slow_bodies, "all"),
    "slow-readers": (CLIENTS, pipelined, "slowly"),
    "half-way": (CLIENTS, half_way, "nothing"),
    "many-silent": (MANY_CLIENTS, silent, "nothing"),
    "many-slow-headers": (MANY_CLIENTS, slow_headers, "all"),
    "many-unfinished-bodies": (MANY_CLIENTS, unfinished_body, "all"),
}


class Client:
    """Hostile client with one connection at a time."""

    def __init__(self, port, pieces, reads):
        self.port, self.make_pieces, self.reads = port, pieces, reads
        self.remaining_connections = CONNECTIONS_PER_CLIENT
        self.socket = None
        self.connect()

    def connect(self):
        self.close()
        if self.remaining_connections == 0:
            return
        self.remaining_connections -= 1
        self.socket = socket.socket()
        if self.reads != "all":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", self.port))
        self.pieces, self.unsent, self.resume_time = iter(self.make_pieces()), b"", 0.0

    def step(self):
        """Sends and reads what is possible at once. Returns whether there was any."""
        if self.socket is None or time.monotonic() < self.resume_time:
            return False
        try:
            received, sent = self.read(), self.send()
            return received or sent
        except OSError:
            self.connect()
            return True

    def read(self):
        if self.reads == "nothing":
            return False
        try:
            if not self.socket.recv(1 if self.reads == "slowly" else 65536):
                raise ConnectionResetError
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno == errno.ENOTCONN:  # not established yet
                return False
            raise
        if self.reads == "slowly":
            self.resume_time = time.monotonic() + PAUSE_SECONDS
        return True

    def send(self):
        if not self.unsent:
            self.unsent = next(self.pieces, None)
            if self.unsent is None:
                self.pieces, self.unsent = iter(()), b""
                return False
            if self.unsent == PAUSE:
                self.resume_time = time.monotonic() + PAUSE_SECONDS
                return True
        try:
            self.unsent = self.unsent[self.socket.send(self.unsent):]
        except BlockingIOError:
            return False
        return True

    def close(self):
        if self.socket is not None:
            self.socket.close()
            self.socket = None


class Process:
    """Process peridot-jobs with lowered limits, and the most that it has used."""

    def __init__(self, program, base_port, directory):
        self.port = base_port + 100
        path = os.path.join(directory, "settings.json")
        with open(path, "w") as file:
            json.dump({"host": "host0", "data_centre": "a", "callers": f"127.0.0.1:{self.port}",
                       "readiness": f"127.0.0.1:{self.port + 1}", "store": {"address": f"127.0.0.1:{base_port}"},
                       "free_ports": [self.port + 2, self.port + 9], "grace_s": 6, "worker_lease_ms": 6000,
                       "stop_ms": 200, "status_s": 120, "memory_mb": MEMORY_MB,
                       "descriptor_limit": DESCRIPTOR_LIMIT}, file)
        self.log = open(os.path.join(directory, "log"), "w")
        self.peak_memory_mb, self.peak_descriptors = 0, 0
        self.process = subprocess.Popen([program, f"--settings={path}"], stdout=self.log, preexec_fn=lambda: (
            resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))))

    def sample(self):
        assert self.process.poll() is None, f"the process ended with {self.process.returncode}"
        with open(f"/proc/{self.process.pid}/status") as file:
            fields = dict(line.split(":", 1) for line in file)
        self.peak_memory_mb = max(self.peak_memory_mb, int(fields["VmHWM"].split()[0]) / 1024)
        self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(f"/proc/{self.process.pid}/fd")))
        assert self.peak_memory_mb < MEMORY_MB, "memory over the limit"
        assert self.peak_descriptors < DESCRIPTOR_LIMIT, "descriptors over the limit"


def call(port, method, path, body=None):
    """Returns the status and the decoded body of the response; status 0 if there is none."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request(method, path, body, {"Host": "test.example"})
        response = connection.getresponse()
        return response.status, json.loads(response.read() or b"{}")
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()


def wait_for(process, condition, description):
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        process.sample()
        assert time.monotonic() < deadline, f"timed out after {TIMEOUT_SECONDS} s, waiting until {description}"
        time.sleep(0.05)


def play_crowd(process, port, path, kind):
    size, pieces, reads = KINDS[kind]
    clients = [Client(port, lambda: pieces(path), reads) for _ in range(size)]
    end = time.monotonic() + HOLD_SECONDS
    while time.monotonic() < end:
        if not any([client.step() for client in clients]):
            time.sleep(0.01)
        process.sample()
    return clients


def check(process, kind):
    wait_for(process, lambda: call(process.port + 1, "GET", "/v1/readiness")[0] == 200, "the process is ready")
    body = json.dumps({"spec": "x", "steps": [{"count": 4, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 300}]})
    for index, (port, path) in enumerate([(process.port, "/checks/%016x"), (process.port, "/nowhere/%016x"),
                                          (process.port + 1, "/v1/readiness")]):
        job = f"/checks/{index:016x}"
        wait_for(process, lambda: call(process.port, "POST", job, body)[0] == 200, "a job is accepted")
        clients = play_crowd(process, port, path % 0xabc if "%" in path else path, kind)
        # The clients that still have a connection keep it.
        wait_for(process, lambda: call(process.port, "GET", job)[0] == 200, "an ordinary request is answered")
        wait_for(process, lambda: call(process.port + 1, "GET", "/v1/readiness")[0] == 200, "readiness is answered")
        for client in clients:
            client.close()
        wait_for(process, lambda: call(process.port, "GET", job)[1].get("state") == "completed", "a job is completed")
        process.sample()


def main():
    if sys.argv[1] == "--list":
        print("\n".join(KINDS))
        return 0
    program, base_port, kind = sys.argv[1], int(sys.argv[2]), sys.argv[3]
    result = "passed"
    with tempfile.TemporaryDirectory() as directory:
        script = os.path.join(os.path.dirname(os.path.abspath(__file__)), "platform_standin.py")
        platform = subprocess.Popen([sys.executable, script, str(base_port)], stdout=subprocess.PIPE)
        process = None
        try:
            platform.stdout.readline()
            process = Process(program, base_port, directory)
            check(process, kind)
        except AssertionError as error:
            result = f"failed: {error}"
        finally:
            for child in [process.process, platform] if process else [platform]:
                child.kill()
                child.wait()
    print(f"kind={kind} peak_memory_mb={process.peak_memory_mb:.1f} of {MEMORY_MB} "
          f"peak_descriptors={process.peak_descriptors} of {DESCRIPTOR_LIMIT} {result}", flush=True)
    return 0 if result == "passed" else 1


sys.exit(main())
