"""Stand-ins for the users' platform, for the cases of the third review: the transactional table
with the operator's and the servers' rows, minions, and requesters. Only the standard library.

The stand-ins do what PROTOCOL.md says. They refuse nothing and lose nothing unless a case asks for it.
All of them run in the event loop of the script; the daemons under test are separate processes.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target/release/ragwortstall-platformd"

HOLD_MAX_MS = 6_000
STOP_MS = 150
HEARTBEAT_MS = 1_500
SILENT_HEARTBEATS = 3
STORE_ANSWER_S = 0.004
STORE_TX_S = 0.008


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


# --- HTTP -----------------------------------------------------------------------------------------


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """HTTP/1.1 server. `handle(method, path, headers, body)` returns a status and a JSON value."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=4 << 20)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                method, path, _ = start.split(" ", 2)
                body = await read_body(reader, headers)
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    break
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, OSError):
            pass
        except asyncio.CancelledError:
            pass  # The script ends.
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, path, host, key=None, body=None, timeout=3.0):
    """Sends a request on a new connection. Returns the status and the parsed body; 0 without an answer."""
    ip, port = address

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", "Ragwortstall-Deadline-Ms: 3000"]
            if key:
                lines.append(f"Authorization: Bearer {key}")
            if body is not None:
                lines += ["Content-Type: application/json"]
            lines.append(f"Content-Length: {len(data)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            start, headers = await read_head(reader)
            answer = await read_body(reader, headers)
            return int(start.split(" ")[1]), json.loads(answer or b"{}")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}


# --- the platform's table -------------------------------------------------------------------------


class Store:
    """The transactional table: linearizable, loses nothing."""

    def __init__(self):
        self.rows = {}  # (table, part, key) -> (value, version)
        self.version = 0
        self.changes = []  # (version, id, value or None)
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def apply(self, puts, removes=()):
        self.version += 1
        for row, value in puts:
            self.rows[row] = (value, self.version)
            self.changes.append((self.version, row, value))
        for row in removes:
            if row in self.rows:
                del self.rows[row]
                self.changes.append((self.version, row, None))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, table, key, value):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply([((table, "", key), data)])

    def remove(self, table, key):
        self.apply([], [(table, "", key)])

    def tail(self):
        return {"schemaVersion": self.version, "nowMs": int(time.monotonic() * 1000)}

    def view(self, row):
        value, version = self.rows.get(row, (None, 0))
        shown = {"table": row[0], "part": row[1], "key": row[2], "schemaVersion": version}
        if value is not None:
            shown["value"] = value
        return shown

    async def handle(self, method, path, _headers, body):
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/-/rows-tx":
            return await self.transact(json.loads(body))
        await asyncio.sleep(STORE_ANSWER_S)
        if url.path == "/-/rows-get":
            return self.get(query)
        if url.path == "/-/rows-parts":
            parts = sorted({part for table, part, _ in self.rows if table == query["table"]})
            return 200, {"parts": parts, "hasMore": False, **self.tail()}
        if url.path == "/-/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, request):
        await asyncio.sleep(STORE_TX_S)
        row_id = lambda row: (row["table"], row.get("part", ""), row["key"])
        expected = request.get("expectedRev", [])
        if any(self.rows.get(row_id(r), (None, 0))[1] != r.get("schemaVersion", 0) for r in expected):
            return 412, {"rows": [self.view(row_id(r)) for r in expected], **self.tail()}
        puts = [(row_id(r), r["value"]) for r in request.get("setKeys", [])]
        if any(row[0] in ("op", "servers") for row, _ in puts):
            return 403, {}
        self.apply(puts, [row_id(r) for r in request.get("remove", [])])
        return 200, self.tail()

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(
            key.encode()
            for (row_table, row_part, key) in self.rows
            if row_table == table and row_part == part
        )
        keys = [k for k in keys if k >= first.encode() and (not end or k < end.encode())]
        rows = [self.view((table, part, key.decode())) for key in keys[:limit]]
        return 200, {"rows": rows, "hasMore": len(keys) > limit, **self.tail()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = []
            for version, row, value in self.since(after):
                if row[0] == table:
                    shown = {"table": row[0], "part": row[1], "key": row[2], "schemaVersion": version}
                    shown.update({"deleted": True} if value is None else {"value": value})
                    rows.append(shown)
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, **self.tail()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def since(self, after):
        low, high = 0, len(self.changes)
        while low < high:
            middle = (low + high) // 2
            if self.changes[middle][0] <= after:
                low = middle + 1
            else:
                high = middle
        return self.changes[low:]


# --- minions --------------------------------------------------------------------------------------


class Minion:
    """One minion. `crash` and `start` end and begin a lifetime under the same id."""

    def __init__(self, cell, name, ip, zone, cpu=16_000, mem_mb=65_536, rack="r1-1"):
        self.cell, self.id, self.ip, self.zone = cell, name, ip, zone
        self.capacity = {"cpu": cpu, "memMb": mem_mb, "gpu": 0}
        self.labels = ["a", rack]
        self.port = 0
        self.clock_step_ms = 0  # How far its time of day is from the true time.
        self.up = False
        self.tasks = []
        self.server = None
        self.holds = 0

    async def start(self):
        self.born = int(time.time() * 1000) + self.clock_step_ms
        self.began = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.running = {}  # task -> dict(run, began, stopping)
        self.floor = {}  # task -> highest run that was stopped or has ended
        self.finished = []
        self.last_end = 0
        self.ended = asyncio.Event()
        self.server = Server(self.handle)
        self.port = await self.server.listen(self.ip, self.port)
        self.up = True
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.watch_leases())]
        self.cell.record.line(f"minion {self.id} starts, born {self.born}")

    def crash(self):
        """Ends the process: what runs there ends, and nothing is sent."""
        self.up = False
        self.server.close()
        for task in self.tasks:
            task.cancel()
        lost = sorted(f"{task} run {run['run']}" for task, run in self.running.items())
        for task, run in self.running.items():
            self.cell.run_is_over(self, task, run["run"], "crashed")
        self.running = {}
        self.cell.record.line(f"minion {self.id} crashes with {lost}")
        asyncio.ensure_future(self.expire(self.born))

    async def expire(self, born):
        """The store removes the entry after three heartbeat intervals of silence."""
        await asyncio.sleep(HEARTBEAT_MS * SILENT_HEARTBEATS / 1000)
        if not self.up and self.born == born:
            self.cell.store.remove("servers", self.id)

    def entry(self):
        return {
            "service": self.cell.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "capacity": self.capacity, "labels": self.labels, "machine": f"m-{self.id}",
            "clockMs": self.clock(), "sequence": 1, "born": self.born,
        }

    async def beat(self):
        sequence = 0
        while True:
            sequence += 1
            self.cell.store.put("servers", self.id, {**self.entry(), "sequence": sequence})
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def watch_leases(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock() > self.lease_ms:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def end(self, task, how, saved=""):
        run = self.running.pop(task, None)
        if run is None:
            return
        self.floor[task] = max(self.floor.get(task, 0), run["run"])
        self.last_end += 1
        self.finished.append([self.last_end, task, run["run"], how, saved])
        self.cell.run_is_over(self, task, run["run"], how)
        event, self.ended = self.ended, asyncio.Event()
        event.set()

    def extend(self, deadline_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, path, headers, body):
        if method == "GET":
            return 200, {}
        if headers.get("ragwortstall-expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock()}
        request = json.loads(body)
        if request.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = max(self.token, request.get("fencingToken", 0))
        if path == "/-/run-start":
            return self.run_start(request)
        if path == "/-/run-stop":
            return self.run_stop(request)
        if path == "/-/hold":
            return await self.hold(request)
        return 200, {"clockMs": self.clock()}

    def run_start(self, request):
        task, run = request["task"], request["run"]
        refused = lambda reason: (409, {"clockMs": self.clock(), "reason": reason})
        if request["deadlineMs"] <= self.clock():
            return refused("late")
        self.extend(request["deadlineMs"])
        there = self.running.get(task)
        if there is not None and there["run"] == run:
            return 200, {"clockMs": self.clock()}
        if there is not None or run <= self.floor.get(task, 0):
            return refused("old")
        self.running[task] = {"run": run, "began": time.monotonic()}
        self.cell.run_began(self, task, run)
        length = self.cell.work_s(task)
        if length is not None:
            asyncio.get_running_loop().call_later(length, self.finish, self.born, task, run)
        return 200, {"clockMs": self.clock()}

    def finish(self, born, task, run):
        if self.up and self.born == born and self.running.get(task, {}).get("run") == run:
            self.end(task, "done")

    def run_stop(self, request):
        task, run = request["task"], request["run"]
        self.floor[task] = max(self.floor.get(task, 0), run)
        there = self.running.get(task)
        if there is not None and there["run"] <= run:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 1000, self.stopped, self.born, task, there["run"])
        return 200, {"clockMs": self.clock()}

    def stopped(self, born, task, run):
        if self.up and self.born == born and self.running.get(task, {}).get("run") == run:
            self.end(task, "stopped")

    async def hold(self, request):
        self.holds += 1
        self.finished = [end for end in self.finished if end[0] > request.get("ackCursor", 0)]
        if "deadlineMs" in request:
            self.extend(request["deadlineMs"])
        wait = request.get("waitMs", 0) / 1000
        if wait and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[task, run["run"], "", 100, 0] for task, run in sorted(self.running.items())]
        return 200, {
            "clockMs": self.clock(), "born": self.born, "running": running,
            "finished": self.finished[:500],
        }


# --- the system under test ------------------------------------------------------------------------


class Daemon:
    """A process of the system, with settings like those of a small deployment."""

    def __init__(self, cell, name, ip, zone):
        self.cell, self.name, self.ip, self.zone = cell, name, ip, zone
        self.front = (ip, 8183)
        self.process = None

    def settings(self):
        cell = self.cell
        zones = "\n".join(f'{zone} = "region"' for zone in cell.zones)
        seeds = ", ".join(f'"{daemon.ip}:8180"' for daemon in cell.daemons[:3])
        return f"""nodeName = "{self.name}"
role = "scheduler"
machineClass = "front"
serves = ["front"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "region"
internalPorts = [7420, 7435]
seeds = [{seeds}]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = {HEARTBEAT_MS}
contracts = ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform"]
orders = "call"
[zones]
{zones}
[listenAddrs]
front = "{self.ip}:8183"
ready = "{self.ip}:8184"
control = "{self.ip}:8180"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
bandwidthMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configDeadlineMs = 2000
holdMaxMs = {HOLD_MAX_MS}
stopTimeoutMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
[platform]
address = "{cell.store_address}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 8.0
partWritesS = 150
rowBytes = 65536
across = false
historyS = 20
"""

    async def start(self):
        path = self.cell.folder / f"{self.name}.toml"
        path.write_text(self.settings(), encoding="utf-8")
        log = open(self.cell.folder / f"{self.name}.log", "ab")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["RAGWORTSTALL_CONFIG"] = str(path)
        self.process = await asyncio.create_subprocess_exec(
            str(DAEMON), cwd=str(ROOT), env=env, stdout=log, stderr=log
        )
        log.close()
        self.cell.record.line(f"process {self.name} starts")

    def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            self.cell.record.line(f"process {self.name} is killed")

    def log_lines(self, kind):
        """Returns the log lines of a kind. For choosing whom to disturb, never for the verdict."""
        lines = []
        path = self.cell.folder / f"{self.name}.log"
        for line in path.read_text(errors="replace").splitlines() if path.exists() else []:
            if f'"kind":"{kind}"' in line:
                try:
                    lines.append(json.loads(line))
                except ValueError:
                    pass
        return lines

    def peak_memory_mb(self):
        """Returns the peak of the resident memory of the process, in MB; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def ready(self):
        status, _ = await call((self.ip, 8184), "GET", "/-/ready", "ready")
        return status == 200


class Cell:
    """A small deployment on loopback addresses of its own."""

    service = "label-pool"

    def __init__(self, record, daemons=3, minions=8, zones=("zone-a", "zone-b", "zone-c"), **capacity):
        self.record = record
        self.zones = zones
        net = f"127.{64 + random.randrange(64)}.{random.randrange(250)}"
        self.net = net
        self.folder = Path(tempfile.mkdtemp(prefix="ragwortstall-review-"))
        self.store = Store()
        self.store_ip = f"{net}.200"
        self.store_address = ""
        pick = lambda i: zones[i % len(zones)]
        self.daemons = [Daemon(self, f"front-{pick(i)}-{i}", f"{net}.{1 + i}", pick(i)) for i in range(daemons)]
        self.minions = [
            Minion(self, f"i-{i:04x}", f"{net}.{50 + i}", pick(i), rack=f"r1-{i // 4}", **capacity)
            for i in range(minions)
        ]
        self.runs = []  # every start and end: dict(task, run, minion, began, ended, how)
        self.config_version = 0
        self.work = {}

    # What runs, as the minions see it.

    def work_s(self, task):
        """Returns how long a task works, in seconds; `None` if it lasts."""
        return self.work.get(task.split(".")[0])

    def run_began(self, minion, task, run):
        self.runs.append(
            {"task": task, "run": run, "minion": minion.id, "began": self.record.now(), "ended": None, "how": None}
        )
        self.record.line(f"minion {minion.id} starts {task} run {run}")

    def run_is_over(self, minion, task, run, how):
        for entry in reversed(self.runs):
            if (entry["task"], entry["run"], entry["minion"]) == (task, run, minion.id) and entry["ended"] is None:
                entry["ended"], entry["how"] = self.record.now(), how
                break
        self.record.line(f"minion {minion.id}: {task} run {run} ends {how}")

    def running(self, job):
        return [run for run in self.runs if run["task"].startswith(job + ".") and run["ended"] is None]

    def minion(self, name):
        return next(minion for minion in self.minions if minion.id == name)

    # Life of the cell.

    def configure(self, routes, tenants):
        self.config_version += 3
        services = [{
            "name": self.service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
            "rejectsOverload": False, "spare": False,
        }]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        config = {
            "version": self.config_version, "routes": routes, "services": services, "limits": limits,
            "tenants": tenants,
        }
        self.store.put("op", "config", config)
        self.record.line(f"the operator writes version {self.config_version} of the desired state")

    async def start(self, routes, tenants):
        if not DAEMON.exists():
            raise CannotRun("the daemon is not built")
        port = await self.store.server.listen(self.store_ip, 0)
        self.store_address = f"{self.store_ip}:{port}"
        self.configure(routes, tenants)
        for minion in self.minions:
            await minion.start()
        for daemon in self.daemons:
            await daemon.start()
        await self.until(self.all_ready, 15, "all processes are ready")
        await self.until(self.placer, 10, "a process has the placer's role")
        await asyncio.sleep(3)

    async def all_ready(self):
        return all([await daemon.ready() for daemon in self.daemons])

    async def placer(self):
        """Returns the daemon that holds the role, by its row in the table."""
        for (table, _, key), (value, _) in self.store.rows.items():
            if table == "jobs" and key == "owner":
                owner = json.loads(base64.b64decode(value))
                return next((d for d in self.daemons if d.name == owner.get("daemon")), None)
        return None

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.02)
        raise CannotRun(f"not within {seconds} s: {what}")

    async def request(self, daemon, method, path, host, key=None, body=None, log=True):
        status, answer = await call(daemon.front, method, path, host, key, body)
        if log:
            shown = "" if body is None else f" {json.dumps(body)[:160]}"
            self.record.line(f"{method} {path} at {daemon.name}{shown} -> {status or 'no answer'} {json.dumps(answer)[:120]}")
        return status, answer

    async def stop(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
        for daemon in self.daemons:
            if daemon.process:
                await daemon.process.wait()
        for minion in self.minions:
            if minion.up:
                minion.server.close()
            for task in minion.tasks:
                task.cancel()
        self.store.server.close()
        if os.environ.get("KEEP"):
            print(f"logs are kept in {self.folder.name} of the temporary folder", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, public=False, attempts=4, priority=1, service=Cell.service):
    return {
        "name": name, "host": "labels.example", "pathPrefix": prefix, "type": "unsafe", "timeoutMs": 3000,
        "targetLatencyMs": 2500, "priority": priority, "service": service, "maxAttempts": attempts,
        "stretch": 2.2, "public": public,
    }


def tenant(name, keys, weight=8, cpu=0):
    cap = {"cpu": cpu, "memMb": 0, "gpu": 0}
    return {"name": name, "apiKeys": keys, "priority": 1, "weight": weight, "cap": cap}


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(folder, play):
    """Plays a case: `play(record, trouble)` returns a text if the rule was broken. Ends the process."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.line(f"trouble: {'yes' if trouble else 'no'}")
    code = 2
    try:
        verdict = asyncio.run(asyncio.wait_for(play(record, trouble), 112))
        code = 1 if verdict else 0
        text = f"broken: {verdict}" if verdict else "held"
    except CannotRun as err:
        text = f"the case could not run: {err}"
    except asyncio.TimeoutError:
        text = "the case could not run: it took too long"
    record.line(text)
    print(text)
    sys.exit(code)
