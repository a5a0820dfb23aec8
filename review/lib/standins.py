"""Stand-ins for the platform's store, a target and a client, and VM processes.

Only the standard library is used. Everything listens on loopback addresses
and runs on one asyncio loop; entry VMs are processes of their own, started
with the command of ``deploy/system.toml``.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
DRAIN_MS = 2000
CONFIG_MS = 2000
STABLE_WINDOW_MS = 3000
HOST = 'a.example'
NO_ANSWER = 0
WAITED_IN_VAIN = -1
SERVICE = 'press'
LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 67108864,
    'HeaderTimeoutMs': 3000,
    'IdleTimeoutMs': 15000,
}


def now() -> float:
    """Return monotonic seconds."""
    return time.monotonic()


def is_disturbed() -> bool:
    """Return whether the disruption is to happen (``TROUBLE`` is not 0)."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what is sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._started_s = now()
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')

    def line(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f'{now() - self._started_s:8.3f} {text}\n')
        self._file.flush()


async def read_head(reader: asyncio.StreamReader):
    """Return the start line and the fields of a message, ``None`` at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw[:-4].decode('latin-1').split('\r\n')
    fields = {}
    for line in lines:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if 'chunked' in fields.get('transfer-encoding', '').lower():
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(fields.get('content-length', 0)))


def render(status: int, fields, body: bytes = b'') -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in fields.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


class Store:
    """The store's log: keyed topics with append, read and newest."""

    def __init__(self) -> None:
        self._topics: dict[str, list[bytes]] = {}
        self._changed = asyncio.Condition()
        self._waiting: set[object] = set()
        self._silent: set[object] = set()
        self._is_down = False
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record; the return is the store's confirmation."""
        record = bytes((len(key),)) + key.encode() + value
        async with self._changed:
            self._topics.setdefault(topic, []).append(record)
            self._changed.notify_all()

    def set_down(self, *, is_down: bool) -> None:
        """Begin or end an outage: calls get 503 and nothing is done."""
        self._is_down = is_down

    def silence_waiting_reads(self) -> int:
        """Let the connections on which a read waits go silent for good.

        They are not closed. Returns how many there are.
        """
        self._silent |= self._waiting
        return len(self._waiting)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(' ')
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                if 'WaitMs' in query:
                    self._waiting.add(writer)
                answer = await self._answer(url.path, query, body)
                self._waiting.discard(writer)
                if writer not in self._silent:
                    writer.write(answer)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._waiting.discard(writer)
            writer.close()

    async def _answer(self, path: str, query, body: bytes) -> bytes:
        if self._is_down:
            return render(503, {}, b'{}')
        topic = query.get('Topic', '')
        records = self._topics.setdefault(topic, [])
        if path == '/-/log-append':
            if topic in ('keyed.op', 'keyed.servers'):
                return render(403, {}, b'{}')
            offset = len(records)
            position = 0
            while position < len(body):
                (size,) = struct.unpack_from('>I', body, position)
                position += 4
                async with self._changed:
                    records.append(body[position:position + size])
                    self._changed.notify_all()
                position += size
            return self._json({'Offset': offset, 'End': len(records)})
        if path == '/-/log-read':
            start = int(query['From'])
            wait_s = int(query.get('WaitMs', 0)) / 1000
            if start >= len(records) and wait_s:
                await self._wait(lambda: len(records) > start, wait_s)
            out = struct.pack('>QQ', len(records), 0)
            for record in records[start:]:
                out += struct.pack('>I', len(record)) + record
            return render(200, {}, out)
        if path == '/-/log-newest':
            return self._newest(records, query.get('after', ''))
        return render(404, {}, b'{}')

    async def _wait(self, is_done, wait_s: float) -> None:
        async with self._changed:
            try:
                await asyncio.wait_for(
                    self._changed.wait_for(
                        lambda: is_done() or self._is_down
                    ), wait_s
                )
            except asyncio.TimeoutError:
                pass

    def _newest(self, records: list[bytes], after: str) -> bytes:
        newest = {}
        for offset, record in enumerate(records):
            key = record[1:1 + record[0]].decode()
            value = record[1 + record[0]:]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        keys = sorted(key for key in newest if key > after)
        rows = [
            {
                'Key': key,
                'Value': base64.b64encode(newest[key][1]).decode(),
                'Offset': newest[key][0],
            }
            for key in keys[:500]
        ]
        return self._json(
            {'items': rows, 'More': len(keys) > 500, 'End': len(records)}
        )

    def _json(self, body) -> bytes:
        fields = {'Content-Type': 'application/json'}
        return render(200, fields, json.dumps(body).encode())


class Target:
    """A target: registers itself, runs requests, drains and leaves.

    ``runs`` lists the time, request id, method, path and body of each request
    that it began to work on. GET requests are answered with ``answer_bytes``
    bytes if that is not 0.
    """

    def __init__(
        self, store: Store, name: str, record: Record, zone: str = 'nasr',
        work_s: float = 0.02, slots: int = 4, service: str = SERVICE,
        answer_bytes: int = 0,
    ) -> None:
        self.name = name
        self.state = 'ready'
        self.runs: list[tuple[float, str, str, str, bytes]] = []
        self._store = store
        self._record = record
        self._zone = zone
        self._work_s = work_s
        self._slots = slots
        self._service = service
        self._answer_bytes = answer_bytes
        self._running = 0
        self._seq = 0
        self._entry = None
        self._born = int(time.time() * 1000)
        self._server = None
        self._beat = None
        self._writers = set()

    async def start(self) -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self._address = f'127.0.0.1:{port}'
        await self.beat()
        self._beat = asyncio.ensure_future(self._keep_beating())

    async def beat(self) -> None:
        """Write the entry to the store if more than ``Seq`` has changed."""
        self._seq += 1
        entry = {
            'Service': self._service,
            'Address': self._address,
            'Zone': self._zone,
            'Version': 'v1',
            'Slots': self._slots,
            'State': self.state,
            'WarmupLeftMs': self.cold_left_ms(),
            'born': self._born,
        }
        if entry != self._entry:
            self._entry = entry
            value = json.dumps({**entry, 'Seq': self._seq}).encode()
            await self._store.put('keyed.servers', self.name, value)

    async def drain(self) -> float:
        """Report ``draining``; return when the store confirmed it."""
        self.state = 'draining'
        await self.beat()
        self._record.line(f'{self.name} is draining, confirmed by the store')
        return now()

    def cold_left_ms(self) -> int:
        """Return how long the target stays cold, 0 if it is warm."""
        return 0

    def accept(self, request_id: str) -> None:
        """Note a request that has arrived."""

    def done(self, request_id: str) -> None:
        """Note a request that has been worked on."""

    def crash(self) -> None:
        """End without notice; all connections are reset."""
        self._beat.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def leave(self) -> None:
        """Remove the entry and end."""
        self._beat.cancel()
        await self._store.put('keyed.servers', self.name, b'')
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()
        self._record.line(f'{self.name} has ended')

    def pause_beats(self) -> None:
        """Write nothing to the store until ``resume_beats``."""
        self._beat.cancel()

    async def resume_beats(self) -> None:
        """Write the entry, and go on writing it."""
        await self.beat()
        self._beat = asyncio.ensure_future(self._keep_beating())

    async def expire(self) -> None:
        """Let the entry expire after three check-in intervals of silence."""
        self._entry = None
        await self._store.put('keyed.servers', self.name, b'')

    async def _keep_beating(self) -> None:
        while True:
            await asyncio.sleep(1.5)
            await self.beat()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                await self._handle(head, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, head, reader, writer) -> None:
        method, path, _ = head[0].split(' ')
        fields = head[1]
        body = await read_body(reader, fields)
        load = {
            'X-Server-Load': f'{self._running},0,{self._slots},100',
        }
        if path == '/health':
            status = 200 if self.state == 'ready' else 503
            cold = {'X-Warmup-Ms': str(self.cold_left_ms())}
            out = {'X-Instance-Id': self.name, **cold, **load}
            writer.write(render(status, out))
            return
        request_id = fields.get('x-request-id', '')
        out = {'X-Request-Id': request_id, **load}
        expected = fields.get('x-expect-instance')
        if not request_id:
            writer.write(render(400, {'X-Not-Executed': '1', **out}))
            return
        if expected not in (None, self.name):
            out['X-Instance-Id'] = self.name
            writer.write(render(421, out))
            return
        self.accept(request_id)
        if self._running >= self._slots:
            writer.write(render(503, {'X-Not-Executed': '1', **out}))
            return
        self._running += 1
        self.runs.append((now(), request_id, method, path, body))
        self._record.line(f'{self.name} runs {request_id} {method} {path}')
        await asyncio.sleep(self._work_s * (2 if self.cold_left_ms() else 1))
        self._running -= 1
        self.done(request_id)
        out['X-Response-Stamp'] = f'{self.name}.{len(self.runs)}'
        if self.state == 'draining':
            out['Connection'] = 'close'
        answer = f'{request_id} ran'.encode()
        if method == 'GET' and self._answer_bytes:
            answer = answer.ljust(self._answer_bytes)
        writer.write(render(200, out, answer))
        self._record.line(f'{self.name} has answered {request_id}')


def route(path: str, **changes):
    """Return a route of the configuration."""
    return {
        'Name': f'r{path}',
        'Host': HOST,
        'PathPrefix': path,
        'RouteType': 'idempotent',
        'TimeoutMs': 1500,
        'SloLatencyMs': 800,
        'Priority': 1,
        'Service': SERVICE,
        'MaxAttempts': 2,
        'AllowedRegions': [],
        **changes,
    }


async def configure(store: Store, version: int, *routes) -> None:
    """Write a version of the configuration."""
    config = {
        'Version': version,
        'Routes': routes,
        'Services': [
            {
                'Name': name,
                'HealthCheckPath': '/health',
                'MaxConnections': 260,
                'WarmupS': 3.0,
                'WarmupPerS': 9.0,
            }
            for name in sorted({entry['Service'] for entry in routes})
        ],
        'Limits': LIMITS,
    }
    value = json.dumps(config).encode()
    await store.put('keyed.op', 'config', value)


_NETWORK = f'127.{random.randint(2, 250)}.{random.randint(2, 250)}'


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for number, one in enumerate(sockets):
        one.bind((f'{_NETWORK}.10', 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Fleet:
    """Entry VMs as processes; each has a loopback address of its own."""

    def __init__(self, store: Store, record: Record) -> None:
        self._store = store
        self._record = record
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[str, object] = {}
        self._paths: dict[str, Path] = {}
        self.hosts: dict[str, str] = {}
        self.front, self._ready, self._control, self._directory, self._peer = (
            _free_ports(5)
        )

    async def start(self, name: str, zone: str = 'nasr') -> None:
        """Start an entry VM, or start it again."""
        if name not in self.hosts:
            self.hosts[name] = f'{_NETWORK}.{10 + len(self.hosts)}'
            self._paths[name] = Path(self._folder.name) / f'{name}.conf'
            self._paths[name].write_text(self._settings(name, zone))
        deploy = tomllib.loads(
            (REPOSITORY / 'deploy/system.toml').read_text()
        )
        command = deploy['roles']['entry']['run'].split(' ')
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(REPOSITORY / 'target/deps'),
            'TURMERICPOST_BOOT': str(self._paths[name]),
        }
        log = self._paths[name].with_suffix('.log').open('ab')
        self._processes[name] = await asyncio.create_subprocess_exec(
            *command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log,
        )
        self._record.line(f'{name} starts')

    async def wait_ready(self, *names: str, limit_s: float = 15) -> bool:
        """Wait until VMs are ready; return whether they are in time."""
        end_s = now() + limit_s
        while now() < end_s:
            states = [await self.is_ready(name) for name in names]
            if all(states):
                self._record.line(f'ready: {", ".join(names)}')
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self, name: str) -> bool:
        """Return whether a VM answers its readiness check with 200."""
        request = f'GET /-/ready HTTP/1.1\r\nHost: {HOST}\r\n\r\n'.encode()
        try:
            reader, writer = await asyncio.open_connection(
                self.hosts[name], self._ready
            )
            writer.write(request)
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return head is not None and head[0].split(' ')[1] == '200'

    def signal(self, name: str, number: int) -> None:
        """Send a signal to the process of a VM."""
        self._record.line(f'{signal.Signals(number).name} to {name}')
        self._processes[name].send_signal(number)

    def log(self, name: str) -> str:
        """Return what the processes of a VM have logged."""
        return self._paths[name].with_suffix('.log').read_text()

    async def close(self) -> None:
        """End all processes."""
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        self._folder.cleanup()

    def _settings(self, name: str, zone: str) -> str:
        host = self.hosts[name]
        return '\n'.join((
            f'NodeName={name}',
            'Role=entry',
            'MachineClass=edge',
            'Serves=edge,control_plane,registry',
            f'Ip={host}',
            f'Zone={zone}',
            'Region=cairo' if zone == 'nasr' else 'Region=alex',
            'Zones.nasr=cairo',
            'Zones.smouha=alex',
            f'Listen.Front={host}:{self.front}',
            f'Listen.Ready={host}:{self._ready}',
            f'Listen.Control={host}:{self._control}',
            f'Listen.Directory={host}:{self._directory}',
            f'InternalPortRange={self._peer},{self._peer}',
            f'Seeds={_NETWORK}.10:{self._control}',
            'Bootstrap=true',
            'HeartbeatMs=1500',
            f'Bounds.DrainMs={DRAIN_MS}',
            'Bounds.GraceS=6',
            f'Bounds.ConfigMs={CONFIG_MS}',
            'Bounds.ttl_max_s=5',
            f'Bounds.StableWindowMs={STABLE_WINDOW_MS}',
            'Bounds.RetryBudgetRatio=0.2',
            'Bounds.RetryBudgetSlack=62',
            'Bounds.BudgetWindowS=10',
            f'Platform.Address=127.0.0.1:{self._store.port}',
            'Platform.form=log',
            '',
        ))


async def _read_status(reader: asyncio.StreamReader) -> int:
    head = await read_head(reader)
    if head is None:
        return NO_ANSWER
    await read_body(reader, head[1])
    return int(head[0].split(' ')[1])


class Client:
    """Sends requests to one VM, each on a new connection."""

    _count = 0

    def __init__(self, fleet: Fleet, vm: str, record: Record) -> None:
        self.vm = vm
        self._fleet = fleet
        self._record = record

    async def call(
        self, path: str, method: str = 'GET', body: bytes = b'',
        deadline_ms: int = 1500,
    ) -> tuple[str, int]:
        """Send a request; return its id and the status of the answer.

        The status is ``NO_ANSWER`` if the connection ended without a complete
        answer, ``WAITED_IN_VAIN`` if the deadline passed.
        """
        Client._count += 1
        request_id = f'q{Client._count:05d}'
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
        )
        self._record.line(f'{request_id} {method} {path} sent to {self.vm}')
        status = await self._exchange(head.encode() + body, deadline_ms)
        self._record.line(f'{request_id} answered {status}')
        return request_id, status

    async def _exchange(self, wire: bytes, deadline_ms: int) -> int:
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(
                    self._fleet.hosts[self.vm], self._fleet.front
                ),
                1,
            )
            writer.write(wire)
            status = await asyncio.wait_for(
                _read_status(reader), deadline_ms / 1000
            )
            writer.close()
        except asyncio.TimeoutError:
            return WAITED_IN_VAIN
        except (OSError, asyncio.IncompleteReadError):
            return NO_ANSWER
        return status

async def send_steadily(client: Client, path: str, seconds: float):
    """Send ten requests a second; return send times, ids and statuses."""
    end_s = now() + seconds
    tasks = []
    while now() < end_s:
        tasks.append((now(), asyncio.ensure_future(client.call(path))))
        await asyncio.sleep(0.1)
    return [(sent_s, *(await task)) for sent_s, task in tasks]


def run_case(folder: str, scenario, limit_s: float = 100) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if not, 2 if it failed.

    ``scenario`` gets the record and returns whether the rule was broken, or
    ``None`` if the case couldn't run.
    """
    record = Record(Path(folder))
    record.line(f'disruption: {is_disturbed()}')
    try:
        broken = asyncio.run(asyncio.wait_for(scenario(record), limit_s))
    except Exception as error:  # the case couldn't run
        record.line(f'failed to run: {error!r}')
        raise SystemExit(2)
    record.line(f'rule broken: {broken}')
    print(f'rule broken: {broken}')
    raise SystemExit(2 if broken is None else int(broken))
