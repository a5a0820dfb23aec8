"""Stand-ins of the platform's store, targets and clients, and VM processes.

Uses the standard library only. All addresses are loopback addresses, and all
times are those of the real clock.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
DRAIN_S = 2.0
STABLE_S = 3.0
HEARTBEAT_S = 1.5
LINK_PART_BYTES = 8192
BYTES_PER_MBIT = 125_000
ZONES = {
    'cairo-nasr': 'cairo',
    'alex-smouha': 'alex',
    'cairo-giza': 'cairo',
    'alex-amreya': 'alex',
}
_START = time.monotonic()


def now_s() -> float:
    """Return the seconds since the start of the script."""
    return time.monotonic() - _START


def free_network() -> tuple[int, socket.socket]:
    """Return the second number of loopback addresses that no run uses.

    The socket reserves them until it is closed.
    """
    numbers = list(range(16, 240))
    random.shuffle(numbers)
    for number in numbers:
        reserved = socket.socket()
        try:
            reserved.bind((f'127.{number}.0.1', 7539))
        except OSError:
            reserved.close()
        else:
            return number, reserved
    raise CannotRunError('no loopback addresses are free')


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')

    def add(self, event: str, **fields: object) -> None:
        """Write one line."""
        line = {'at_s': round(now_s(), 4), 'event': event, **fields}
        self._file.write(json.dumps(line) + '\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# --- HTTP ------------------------------------------------------------------


class Message:
    """A request or a response: start line, header fields and body."""

    def __init__(self, start: str, fields: dict[str, str], body: bytes) -> None:
        self.start = start
        self.fields = fields
        self.body = body


async def read_message(
    reader: asyncio.StreamReader, *, to_end: bool = False
) -> Message:
    """Read one message; its body has a length, is chunked or ends at EOF."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, found, text = line.partition(':')
        if found:
            fields[name.strip().lower()] = text.strip()
    body = b''
    if 'content-length' in fields:
        body = await reader.readexactly(int(fields['content-length']))
    elif 'chunked' in fields.get('transfer-encoding', ''):
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    elif to_end:
        body = await reader.read()
    return Message(lines[0], fields, body)


def render(status: int, fields: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in fields.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


# --- the platform's store ---------------------------------------------------


class Store:
    """The platform's store, as far as the system uses it.

    ``mode`` says what each VM finds at its address of the store: ``ok``, or
    ``silent`` (calls get no answer), ``busy`` (503) or ``reset``.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.mode: dict[str, str] = {}
        self.reads: list[tuple[float, str, str]] = []
        self._silenced = 0
        self.link_mbps: float | None = None
        self._links: dict[str, asyncio.Lock] = {}
        self._logs: dict[str, list[tuple[str, bytes]]] = {}
        self._grown = asyncio.Event()

    def write(self, topic: str, key: str, payload: bytes) -> int:
        """Append a record with a key; return its offset."""
        log = self._logs.setdefault(topic, [])
        log.append((key, payload))
        self._grown.set()
        self._grown = asyncio.Event()
        return len(log) - 1

    def silence_open_connections(self) -> None:
        """Answer nothing more on open connections; new ones work."""
        self._silenced += 1

    async def listen(self, vm_name: str) -> int:
        """Open the address of the store for a VM; return its port."""
        self.mode[vm_name] = 'ok'

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(vm_name, reader, writer)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        return int(server.sockets[0].getsockname()[1])

    async def _serve(
        self,
        vm_name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        opened_at = self._silenced
        try:
            while True:
                request = await read_message(reader)
                call = request.start.split(' ')[1]
                arrived_s = now_s()
                self.reads.append((arrived_s, vm_name, call))
                mode = self.mode[vm_name]
                if mode == 'ok':
                    status, body = await self._answer(vm_name, call, request)
                    mode = self.mode[vm_name]
                    if mode == 'silent' or opened_at != self._silenced:
                        await self._hang(reader)
                        return
                elif mode == 'busy':
                    status, body = 503, b'{}'
                elif mode == 'reset':
                    writer.transport.abort()
                    return
                else:
                    await self._hang(reader)
                    return
                await asyncio.sleep(0.004)
                kind = {'Content-Type': 'application/json'}
                await self._send(vm_name, writer, render(status, kind, body))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _send(
        self, vm_name: str, writer: asyncio.StreamWriter, wire: bytes
    ) -> None:
        """Send a response, no faster than the link of the VM."""
        if self.link_mbps is None:
            writer.write(wire)
            await writer.drain()
            return
        link = self._links.setdefault(vm_name, asyncio.Lock())
        bytes_per_s = self.link_mbps * BYTES_PER_MBIT
        for start in range(0, len(wire), LINK_PART_BYTES):
            part = wire[start : start + LINK_PART_BYTES]
            async with link:
                writer.write(part)
                await asyncio.sleep(len(part) / bytes_per_s)
            if writer.is_closing():
                return
            await writer.drain()

    async def _hang(self, reader: asyncio.StreamReader) -> None:
        """Answer nothing on this connection any more."""
        while await reader.read(65536):
            pass

    async def _answer(
        self, vm_name: str, call: str, request: Message
    ) -> tuple[int, bytes]:
        target = urlsplit(call)
        query = {k: v[0] for k, v in parse_qs(target.query).items()}
        topic = query.get('Topic', '')
        log = self._logs.setdefault(topic, [])
        if target.path == '/-/log-append':
            size = struct.unpack('>I', request.body[:4])[0]
            content = request.body[4 : 4 + size]
            key_end = 1 + content[0]
            key = content[1:key_end].decode()
            offset = self.write(topic, key, content[key_end:])
            return 200, json.dumps(
                {'Offset': offset, 'End': offset + 1}
            ).encode()
        if target.path == '/-/log-newest':
            newest = {
                key: (offset, payload)
                for offset, (key, payload) in enumerate(log)
            }
            items = [
                {
                    'Key': key,
                    'Value': base64.b64encode(payload).decode(),
                    'Offset': offset,
                }
                for key, (offset, payload) in sorted(newest.items())
                if payload
            ]
            return 200, json.dumps(
                {'items': items, 'More': False, 'End': len(log)}
            ).encode()
        if target.path == '/-/log-read':
            start = int(query['From'])
            until_s = now_s() + int(query.get('WaitMs', '0')) / 1000
            while start >= len(log) and now_s() < until_s:
                try:
                    await asyncio.wait_for(
                        self._grown.wait(), until_s - now_s()
                    )
                except asyncio.TimeoutError:
                    break
            parts = [struct.pack('>QQ', len(log), 0)]
            left_bytes = int(query.get('MaxKb', '1024')) * 1024
            for key, payload in log[start:]:
                raw_key = key.encode()
                content = bytes((len(raw_key),)) + raw_key + payload
                left_bytes -= len(content)
                if left_bytes < 0 and len(parts) > 1:
                    break
                parts.append(struct.pack('>I', len(content)) + content)
            return 200, b''.join(parts)
        return 404, b'{}'


# --- targets ----------------------------------------------------------------


class Target:
    """A target: runs requests, tells its load, registers in the store."""

    def __init__(
        self,
        store: Store,
        target_id: str,
        service: str,
        zone: str,
        work_s: float = 0.06,
        slots: int = 4,
        work_by_path: dict[str, float] | None = None,
    ) -> None:
        self.store = store
        self.target_id = target_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.work_by_path = work_by_path or {}
        self.slots = slots
        self.address = ''
        self.running = 0
        self.waiting = 0
        self.is_registered = True
        self.arrivals: list[tuple[float, str]] = []
        self.born_ms = int(time.time() * 1000)
        self._seq = 0
        self._slot = asyncio.Semaphore(slots)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, host: str) -> None:
        """Listen and register."""
        server = await asyncio.start_server(self._serve, host, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        self._tasks.append(asyncio.create_task(self._beat()))

    def entry(self, state: str = 'ready') -> bytes:
        """Return the entry of the registry."""
        self._seq += 1
        return json.dumps(
            {
                'Service': self.service,
                'Address': self.address,
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': self.slots,
                'State': state,
                'WarmupLeftMs': 0,
                'Seq': self._seq,
                'born': self.born_ms,
            }
        ).encode()

    def remove_entry(self) -> float:
        """Remove the entry; return when the store has confirmed that."""
        self.is_registered = False
        self.store.write('keyed.servers', self.target_id, b'')
        return now_s()

    async def _beat(self) -> None:
        while self.is_registered:
            self.store.write('keyed.servers', self.target_id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def _work_s(self, path: str) -> float:
        for prefix, work_s in self.work_by_path.items():
            if path.startswith(prefix):
                return work_s
        return self.work_s

    def _load(self) -> str:
        return f'{self.running},{self.waiting},{self.slots},100'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._respond(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _respond(self, request: Message) -> bytes:
        path = request.start.split(' ')[1]
        if path == '/health':
            await asyncio.sleep(0.001)
            fields = {
                'X-Instance-Id': self.target_id,
                'X-Server-Load': self._load(),
                'X-Warmup-Ms': '0',
            }
            return render(200, fields, b'ok')
        request_id = request.fields.get('x-request-id', '')
        echo = {'X-Request-Id': request_id} if request_id else {}
        expected = request.fields.get('x-expect-instance', self.target_id)
        if expected != self.target_id:
            fields = {'X-Instance-Id': self.target_id, **echo}
            return render(421, fields, b'')
        self.arrivals.append((now_s(), request_id))
        self.store.record.add(
            'arrived', target=self.target_id, request=request_id, path=path
        )
        self.waiting += 1
        async with self._slot:
            self.waiting -= 1
            self.running += 1
            try:
                await asyncio.sleep(
                    self._work_s(path) * random.uniform(0.8, 1.2)
                )
            finally:
                self.running -= 1
        self.store.record.add('run', target=self.target_id, request=request_id)
        fields = {
            **echo,
            'X-Response-Stamp': f'{self.target_id}.{request_id}',
            'X-Server-Load': self._load(),
        }
        return render(200, fields, b'body of ' + request_id.encode())


# --- entry VMs ---------------------------------------------------------------


def deploy_command() -> list[str]:
    """Return the command of the role in the deploy file."""
    text = (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
    for line in text.splitlines():
        if line.startswith('run = '):
            return shlex.split(line.partition('=')[2].strip().strip('"'))
    raise LookupError('the deploy file has no command')


class EntryVm:
    """One process of the system, started with the command of the deploy file."""

    def __init__(
        self, name: str, zone: str, host: str, store_port: int
    ) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.front = f'{host}:8548'
        self.directory = f'{host}:8546'
        self.ready = f'{host}:8542'
        self.link_mbps = 1000.0
        self.bounds: dict[str, str] = {}
        self._store_port = store_port
        self._process: subprocess.Popen[bytes] | None = None

    def settings(self, seeds: list[str]) -> str:
        """Return the text of the settings file."""
        zones = [f'Zones.{zone}={region}' for zone, region in ZONES.items()]
        return '\n'.join(
            [
                f'NodeName={self.name}',
                'Role=entry',
                'MachineClass=edge',
                'Serves=edge,control_plane,registry',
                f'Ip={self.host}',
                f'Zone={self.zone}',
                f'Region={ZONES[self.zone]}',
                *zones,
                f'Listen.Front={self.front}',
                f'Listen.Ready={self.ready}',
                f'Listen.Control={self.host}:8544',
                f'Listen.Directory={self.directory}',
                'InternalPortRange=7540,7555',
                'Seeds=' + ','.join(f'{seed}:8544' for seed in seeds),
                'Bootstrap=true',
                'LossCounts=false',
                'Limits.CpuShare=0.86',
                'Limits.Cores=1',
                'Limits.MemoryMb=300',
                'Limits.MaxFds=4100',
                f'Limits.LinkMbps={self.link_mbps}',
                'Limits.DiskMb=0',
                'Discovery=platform',
                'Entry=registry',
                'HeartbeatMs=1500',
                'Contracts=base,drain,config,cost,retry,recover,health,places,platform',
                'FaultTolerance.Machines=1',
                'FaultTolerance.Zones=1',
                'FaultTolerance.Regions=0',
                'Bounds.SeedLagS=3',
                'Bounds.AddrReuseS=2',
                'Bounds.StableWindowMs=3000',
                'Bounds.AckMs=4000',
                'Bounds.CatchUpS=4',
                'Bounds.DrainMs=2000',
                'Bounds.GraceS=6',
                'Bounds.LostMs=200',
                'Bounds.ConfigMs=2000',
                'Bounds.RollbackSlackMs=250',
                'Bounds.MaxSkewMs=5000',
                'Bounds.RetryBudgetRatio=0.2',
                'Bounds.BudgetWindowS=10',
                'Bounds.RetryBudgetSlack=64',
                'Bounds.ColdOver=1.5',
                'Bounds.ColdSlack=5',
                'Bounds.EvacuationMs=5000',
                'Bounds.RecoveryS=15',
                'Bounds.ttl_max_s=5',
                'Bounds.ProbesPerS=60',
                f'Platform.Address=127.0.0.1:{self._store_port}',
                'Platform.form=log',
                'Platform.WritesPerS=400',
                'Platform.ReadsPerS=2000',
                'Platform.parts=8',
                'Platform.AppendMs=4.0',
                'Platform.IngressPerS=20.0',
                'Platform.EgressPerS=80.0',
                'Platform.RecordBytes=262144',
                'Platform.CallBytes=2097152',
                'Platform.keep_s=300',
                'Platform.PartMb=200',
                'Platform.TtlMinMs=1000',
                '',
            ]
        )

    def bounded_settings(self, seeds: list[str]) -> str:
        """Return the settings with the bounds of this deployment."""
        lines = self.settings(seeds).split('\n')
        for name, bound in self.bounds.items():
            key = f'Bounds.{name}='
            lines = [
                f'{key}{bound}' if line.startswith(key) else line
                for line in lines
            ]
        return '\n'.join(lines)

    def start(self, folder: Path, seeds: list[str]) -> None:
        """Start the process; its log goes into the folder."""
        path = folder / f'{self.name}.conf'
        path.write_text(self.bounded_settings(seeds), encoding='utf-8')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['TURMERICPOST_BOOT'] = str(path)
        with (folder / f'{self.name}.log').open('ab') as log:
            self._process = subprocess.Popen(
                deploy_command(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def exit_status(self) -> int | None:
        """Exit status of the process, ``None`` while it runs."""
        return None if self._process is None else self._process.poll()

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self._process.wait()


# --- clients -----------------------------------------------------------------


class Answer:
    """Result of a request: its status is 0 if there was no whole answer."""

    def __init__(
        self, status: int, fields: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.fields = fields
        self.body = body


async def get(address: str, path: str, timeout_s: float = 1.0) -> Answer:
    """Send a request without a body on a new connection."""
    return await call(address, 'GET', path, address, {}, b'', timeout_s)


async def call(
    address: str,
    method: str,
    path: str,
    host: str,
    fields: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> Answer:
    """Send a request on a new connection and return its answer."""
    lines = [f'{method} {path} HTTP/1.1', f'Host: {host}', 'Connection: close']
    lines += [f'{name}: {text}' for name, text in fields.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    wire = '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
    ip, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(wire)
            message = await read_message(reader)
            status = int(message.start.split(' ')[1])
            return Answer(status, message.fields, message.body)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return Answer(0, {}, b'')
    finally:
        if writer is not None:
            writer.close()


# --- a small deployment ------------------------------------------------------


class Deployment:
    """Store, targets, entry VMs and clients of a small deployment."""

    def __init__(
        self, folder: Path, vms_per_zone: int, zones: list[str]
    ) -> None:
        self.record = Record(folder / 'record.txt')
        self.store = Store(self.record)
        self.targets: list[Target] = []
        self.vms: list[EntryVm] = []
        self.answers: list[tuple[float, str, int]] = []
        self.zones = zones
        self.vms_per_zone = vms_per_zone
        self.version = 1
        self.bounds: dict[str, str] = {}
        self._folder = Path(tempfile.mkdtemp(prefix='review-'))
        self._requests = 0
        self._load: list[asyncio.Task[None]] = []
        self.stopping = False
        self._network, self._reserved = free_network()

    @property
    def logs(self) -> Path:
        """Folder with the logs of the VMs."""
        return self._folder

    def route(
        self, name: str, prefix: str, service: str, **changes: object
    ) -> dict[str, object]:
        """Return a route of the configuration."""
        route: dict[str, object] = {
            'Name': name,
            'Host': 'shop.example',
            'PathPrefix': prefix,
            'RouteType': 'idempotent',
            'TimeoutMs': 2500,
            'SloLatencyMs': 600,
            'Priority': 2,
            'Service': service,
            'MaxAttempts': 2,
            'AllowedRegions': [],
        }
        return {**route, **changes}

    def configure(
        self, routes: list[dict[str, object]], services: list[str]
    ) -> float:
        """Write a configuration; return when the store has confirmed it."""
        config = {
            'Version': self.version,
            'Routes': routes,
            'Services': [
                {
                    'Name': name,
                    'HealthCheckPath': '/health',
                    'MaxConnections': 260,
                    'Protocol': 'h1',
                    'Tls': False,
                    'WarmupS': 3.0,
                    'WarmupPerS': 2.9,
                }
                for name in services
            ],
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 67108864,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
        }
        self.store.write('keyed.op', 'config', json.dumps(config).encode())
        self.version += 3
        return now_s()

    async def start(self) -> None:
        """Start the VMs and wait until all are ready."""
        for zone_number, zone in enumerate(self.zones, 1):
            for number in range(1, self.vms_per_zone + 1):
                name = f'edge-{zone}-{number}'
                port = await self.store.listen(name)
                host = f'127.{self._network}.{zone_number}.{number}'
                self.vms.append(EntryVm(name, zone, host, port))
        seeds = [vm.host for vm in self.vms if vm.name.endswith('-1')][:3]
        for vm in self.vms:
            vm.link_mbps = self.store.link_mbps or vm.link_mbps
            vm.bounds = self.bounds
            vm.start(self._folder, seeds)
        await self.wait_until_ready()

    async def add_target(
        self, service: str, zone: str, **options: object
    ) -> Target:
        """Start a target."""
        number = len(self.targets) + 1
        target = Target(self.store, f'i-{number:04x}', service, zone, **options)  # type: ignore[arg-type]
        await target.start(f'127.{self._network}.9.{number}')
        self.targets.append(target)
        return target

    async def wait_until_ready(self, limit_s: float = 20) -> None:
        """Wait until every VM that runs is ready; else end with 2."""
        end_s = now_s() + limit_s
        while now_s() < end_s:
            answers = [await get(vm.ready, '/-/ready') for vm in self.vms]
            if all(answer.status == 200 for answer in answers):
                return
            await asyncio.sleep(0.2)
        raise CannotRunError('the VMs are not ready')

    async def send(
        self,
        vm: EntryVm,
        path: str,
        method: str = 'GET',
        body: bytes = b'',
        deadline_s: float = 2.5,
    ) -> Answer:
        """Send a request to a VM as a client does, and record it."""
        self._requests += 1
        request_id = f'{self._requests:016x}'
        sent_s = now_s()
        self.record.add('sent', request=request_id, vm=vm.name, path=path)
        answer = await call(
            vm.front,
            method,
            path,
            'shop.example',
            {
                'X-Request-Id': request_id,
                'X-Deadline-Ms': str(int(deadline_s * 1000)),
            },
            body,
            deadline_s + 1,
        )
        self.record.add('answered', request=request_id, status=answer.status)
        self.answers.append((sent_s, path, answer.status))
        return answer

    def start_load(self, path: str, per_s: float, **options: object) -> None:
        """Send requests at a steady rate to VMs in turn until the end."""
        self._load.append(
            asyncio.create_task(self._run_load(path, per_s, options))
        )

    async def _run_load(
        self, path: str, per_s: float, options: dict[str, object]
    ) -> None:
        pending: set[asyncio.Task[Answer]] = set()
        number = 0
        while not self.stopping:
            vm = self.vms[number % len(self.vms)]
            number += 1
            if vm.exit_status is None:
                sending = asyncio.create_task(
                    self.send(vm, f'{path}{number}', **options)  # type: ignore[arg-type]
                )
                pending.add(sending)
                sending.add_done_callback(pending.discard)
            await asyncio.sleep(1 / per_s)
        if pending:
            await asyncio.wait(pending, timeout=5)

    async def finish(self) -> None:
        """Stop the load and all processes."""
        self.stopping = True
        if self._load:
            await asyncio.wait(self._load, timeout=8)
        for vm in self.vms:
            vm.end()
        self.record.close()
        if 'KEEP_LOGS' not in os.environ:
            shutil.rmtree(self._folder, ignore_errors=True)
        self._reserved.close()


class CannotRunError(Exception):
    """The case could not run."""


def main(case: object, limit_s: float = 110) -> None:
    """Run a case, and exit with 0, 1 or 2."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> int:
        async with asyncio.timeout(limit_s):
            return int(await case(trouble))  # type: ignore[operator]

    try:
        status = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        sys.stderr.write(f'the case could not run: {error!r}\n')
        status = 2
    sys.exit(status)
