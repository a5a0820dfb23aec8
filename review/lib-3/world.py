"""Stand-ins of the platform's store, targets and clients, and VM processes.

Only the standard library is used. Everything runs on loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = 'jepu9.example'
FRONT, READY, CONTROL, DIRECTORY, STORE, TARGET = (
    8548, 8542, 8544, 8546, 8541, 8001)
IDLE_S = 10


def now() -> float:
    return time.monotonic()


# --------------------------------------------------------------------- HTTP

async def read_head(reader):
    """Return the start line and the fields, None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError):
        return None
    lines = raw[:-4].decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    return lines[0], fields


async def read_body(reader, fields):
    length = fields.get('content-length')
    if length is not None:
        return await reader.readexactly(int(length))
    if 'chunked' not in fields.get('transfer-encoding', ''):
        return b''
    parts = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        part = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return b''.join(parts)
        parts.append(part)


def head(start, fields):
    lines = [start, *(f'{name}: {text}' for name, text in fields)]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def abort(writer):
    if writer.transport is not None:
        writer.transport.abort()


# -------------------------------------------------------------------- store

class Store:
    """The platform's metadata store: linearizable, loses nothing.

    Each VM reaches it through a door of its own (an address), which a test
    may close. A closed door resets its connections and refuses new ones.
    """

    def __init__(self, world):
        self.world = world
        self.topics = {}
        self.changed = asyncio.Event()
        self.reads = []
        self.doors = {}

    def put(self, topic, key, value):
        """Append a record with a key; return when it was accepted."""
        encoded = key.encode()
        record = bytes((len(encoded),)) + encoded + value
        self._append(topic, record)
        return now()

    def _append(self, topic, record):
        records = self.topics.setdefault(topic, [])
        records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records)

    async def open_door(self, name, host, port):
        door = self.doors.setdefault(
            name, {'host': host, 'port': port, 'writers': set()})
        door['server'] = await asyncio.start_server(
            lambda r, w: self._serve(name, r, w), host, port)

    async def shut_door(self, name):
        door = self.doors[name]
        door['server'].close()
        for writer in tuple(door['writers']):
            abort(writer)

    def silence_door(self, name):
        """Hold back all requests there, as behind a partition."""
        self.doors[name]['is_silent'] = True

    def end_silence(self, name):
        """Handle held requests whose connections are still open, and new ones."""
        self.doors[name]['is_silent'] = False

    async def _serve(self, name, reader, writer):
        door = self.doors[name]
        door['writers'].add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                while door.get('is_silent'):
                    await asyncio.sleep(0.01)
                if reader.at_eof() or reader.exception() is not None:
                    break
                body = await read_body(reader, request[1])
                status, answer = await self._handle(name, request[0], body)
                writer.write(head(f'HTTP/1.1 {status} X', [
                    ('Content-Type', 'application/json'),
                    ('Content-Length', len(answer))]) + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            door['writers'].discard(writer)
            abort(writer)

    async def _handle(self, name, start, body):
        await asyncio.sleep(0.004)
        target = urlsplit(start.split(' ')[1])
        query = {k: v[0] for k, v in parse_qs(target.query).items()}
        topic = query.get('Topic', '')
        records = self.topics.setdefault(topic, [])
        if target.path == '/-/log-append':
            if topic in ('keyed.op', 'keyed.servers'):
                return 403, b'{}'
            first = len(records)
            while body:
                size = struct.unpack('>I', body[:4])[0]
                self._append(topic, body[4:4 + size])
                body = body[4 + size:]
            return 200, json.dumps(
                {'Offset': first, 'End': len(records)}).encode()
        if target.path == '/-/log-read':
            start_at = int(query['From'])
            until = now() + int(query.get('WaitMs', 0)) / 1000
            while start_at >= len(records) and now() < until:
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), until - now())
                except asyncio.TimeoutError:
                    break
            self.reads.append((now(), name, topic))
            found, size = [], 0
            for record in records[start_at:]:
                size += len(record) + 4
                if found and size > int(query.get('MaxKb', 1024)) * 1024:
                    break
                found.append(struct.pack('>I', len(record)) + record)
            return 200, struct.pack('>QQ', len(records), 0) + b''.join(found)
        if target.path == '/-/log-newest':
            self.reads.append((now(), name, topic))
            newest = {}
            for offset, record in enumerate(records):
                key = record[1:1 + record[0]]
                value = record[1 + record[0]:]
                newest.pop(key, None)
                if value:
                    newest[key] = (offset, value)
            rows = [{'Key': key.decode(), 'Offset': offset,
                     'Value': base64.b64encode(value).decode()}
                    for key, (offset, value) in sorted(newest.items())]
            return 200, json.dumps({'items': rows, 'More': False,
                                    'End': len(records)}).encode()
        return 404, b'{}'


# ------------------------------------------------------------------ targets

class Target:
    """A target of a service. It registers itself and beats into the store."""

    def __init__(self, world, identity, service, zone, host, *, slots=4,
                 work_s=0.05, cold_factor=2.0, queue=8, tells_load=True):
        self.world = world
        self.identity = identity
        self.service = service
        self.zone = zone
        self.host = host
        self.slots = slots
        self.work_s = work_s
        self.cold_factor = cold_factor
        self.queue = queue
        self.tells_load = tells_load
        self.born = int(time.time() * 1000)
        self.cold_until = 0.0
        self.colds = []
        self.state = 'ready'
        self.is_registered = True
        self.running = 0
        self.waiting = []
        self.seq = 0
        self.said = None
        self.arrivals = []
        self.runs = []
        self.probes = []
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, TARGET)
        self.beats = asyncio.create_task(self._beat())

    def become_cold(self, for_s):
        self.cold_until = now() + for_s
        self.colds.append((now(), self.cold_until))

    def stop(self):
        self.beats.cancel()
        self.server.close()
        for writer in tuple(self.writers):
            abort(writer)

    def unregister(self):
        """Leave without reporting to be draining; return the confirmation."""
        self.is_registered = False
        return self.world.store.put('keyed.servers', self.identity, b'')

    def register(self):
        self.seq += 1
        cold_ms = max(int((self.cold_until - now()) * 1000), 0)
        entry = {'Service': self.service, 'Address': f'{self.host}:{TARGET}',
                 'Zone': self.zone, 'Version': 'v1', 'Slots': self.slots,
                 'State': self.state, 'WarmupLeftMs': cold_ms}
        if entry != self.said:
            self.said = entry
            return self.world.store.put(
                'keyed.servers', self.identity, json.dumps(
                    {**entry, 'Seq': self.seq, 'born': self.born}).encode())
        return None

    async def _beat(self):
        await asyncio.sleep(random.random() * 0.2)
        while True:
            if self.is_registered:
                self.register()
            await asyncio.sleep(self.world.heartbeat_s)

    def _load(self):
        if not self.tells_load:
            return []
        return [('X-Server-Load',
                 f'{self.running},{len(self.waiting)},{self.slots},100')]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                body = await read_body(reader, request[1])
                await self._handle(request, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            abort(writer)

    async def _handle(self, request, body, writer):
        start, fields = request
        method, path, _ = start.split(' ')
        if path == '/health':
            self.probes.append(now())
            cold_ms = max(int((self.cold_until - now()) * 1000), 0)
            self._answer(writer, 200, [
                ('X-Instance-Id', self.identity),
                ('X-Warmup-Ms', cold_ms), *self._load()], b'')
            return
        call_id = fields.get('x-request-id', '')
        expected = fields.get('x-expect-instance')
        if expected not in (None, self.identity):
            self._answer(writer, 421, [
                ('X-Request-Id', call_id),
                ('X-Instance-Id', self.identity)], b'')
            return
        self.arrivals.append((now(), call_id))
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                self._answer(writer, 503, [
                    ('X-Request-Id', call_id), ('X-Not-Executed', '1'),
                    *self._load()], b'')
                return
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn
        self.running += 1
        self.runs.append((now(), call_id))
        work_s = self.work_s * random.uniform(0.9, 1.1)
        if now() < self.cold_until:
            work_s *= self.cold_factor
        try:
            await asyncio.sleep(work_s)
        finally:
            self.running -= 1
            if self.waiting:
                self.waiting.pop(0).set_result(None)
        stamp = f'{self.identity}.{call_id}'
        self._answer(writer, 200, [
            ('X-Request-Id', call_id), ('X-Response-Stamp', stamp),
            *self._load()], self.answer_body(call_id, path))

    def answer_body(self, call_id, path):
        return f'{self.identity}.{call_id}'.encode()

    def _answer(self, writer, status, fields, body):
        writer.write(head(f'HTTP/1.1 {status} X', [
            *fields, ('Content-Length', len(body))]) + body)


# ------------------------------------------------------------------ clients

class Clients:
    """Clients of one zone: they resolve, keep connections and send requests."""

    def __init__(self, world, zone, *, method='GET', prefix='/lepu270/',
                 deadline_ms=800, body=b''):
        self.world = world
        self.zone = zone
        self.method = method
        self.prefix = prefix
        self.deadline_ms = deadline_ms
        self.body = body
        self.addresses = []
        self.mark = None
        self.idle = {}
        self.tasks = set()

    async def run(self, per_s, until):
        resolving = asyncio.create_task(self._resolve())
        due = now()
        while now() < until:
            due += random.expovariate(per_s)
            await asyncio.sleep(max(due - now(), 0))
            task = asyncio.create_task(self._call())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks, return_exceptions=True)
        resolving.cancel()

    async def _resolve(self):
        while True:
            ttl_s = 0.3
            for vm in self.world.by_distance(self.zone):
                try:
                    answer = await asyncio.wait_for(self._ask(vm), 1)
                except (OSError, asyncio.TimeoutError, ValueError,
                        asyncio.IncompleteReadError):
                    continue
                if answer:
                    self.addresses = answer['Addresses']
                    ttl_s = min(answer['TtlS'], 5)
                    break
            await asyncio.sleep(ttl_s)

    async def _ask(self, vm):
        reader, writer = await asyncio.open_connection(vm.host, DIRECTORY)
        try:
            writer.write(head(
                f'GET /-/resolve?Name={HOST}&Region={vm.region}'
                f'&Zone={self.zone} HTTP/1.1', [('Host', vm.host)]))
            answer = await read_head(reader)
            if answer is None:
                return None
            body = await read_body(reader, answer[1])
            if ' 200 ' not in answer[0]:
                return None
            return json.loads(body)
        finally:
            abort(writer)

    async def _call(self):
        if not self.addresses:
            return
        address = random.choice(self.addresses)
        call_id = f'{random.getrandbits(64):016x}'
        record = {'id': call_id, 'vm': self.world.vm_at(address),
                  'sent_s': now(), 'status': None, 'mark': self.mark}
        self.world.calls.append(record)
        connections = self.idle.setdefault(address, [])
        writer = None
        try:
            while connections and connections[0][2] < now() - IDLE_S:
                abort(connections.pop(0)[1])
            if connections:
                reader, writer, _ = connections.pop()
            else:
                host, _, port = address.partition(':')
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port)), 1)
            fields = [('Host', HOST), ('X-Request-Id', call_id),
                      ('X-Deadline-Ms', self.deadline_ms)]
            if self.body:
                fields.append(('Content-Length', len(self.body)))
            writer.write(head(
                f'{self.method} {self.prefix}2f HTTP/1.1', fields) + self.body)
            answer = await asyncio.wait_for(
                read_head(reader), self.deadline_ms / 1000)
            if answer is None:
                raise ConnectionError('closed')
            await read_body(reader, answer[1])
            record['status'] = int(answer[0].split(' ')[1])
            record['ended_s'] = now()
            if 'close' in answer[1].get('connection', ''):
                abort(writer)
            else:
                connections.append((reader, writer, now()))
        except asyncio.TimeoutError:
            record['status'] = 'deadline'
            abort(writer) if writer else None
        except (OSError, asyncio.IncompleteReadError):
            record['status'] = 'cut'
            abort(writer) if writer else None


# --------------------------------------------------------------------- links

class Link:
    """A way from a client to a VM that may hold back what the client sends."""

    def __init__(self, host, vm):
        self.host = host
        self.vm = vm
        self.held_from = None
        self.hold_s = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, FRONT)

    def hold_after(self, size, hold_s):
        """Hold back the bytes after the first ones for some seconds."""
        self.held_from = size
        self.hold_s = hold_s

    def stop(self):
        self.server.close()
        for writer in tuple(self.writers):
            abort(writer)

    async def _serve(self, reader, writer):
        to_vm = None
        try:
            from_vm, to_vm = await asyncio.open_connection(self.vm.host, FRONT)
            self.writers.update((writer, to_vm))
            copying = asyncio.create_task(self._copy(from_vm, writer))
            await self._copy(reader, to_vm, self.held_from)
            await copying
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in (writer, to_vm):
                if end is not None:
                    self.writers.discard(end)
                    abort(end)

    async def _copy(self, reader, writer, held_from=None):
        try:
            while part := await reader.read(65536):
                if held_from is not None:
                    if len(part) > held_from:
                        writer.write(part[:held_from])
                        await asyncio.sleep(self.hold_s)
                        part, held_from = part[held_from:], None
                    else:
                        held_from -= len(part)
                writer.write(part)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError):
            abort(writer)


# ----------------------------------------------------------------------- VM

class Vm:
    """An entry VM: one process with the command of the deploy file."""

    def __init__(self, world, name, zone, region, host, store_address):
        self.world = world
        self.name = name
        self.zone = zone
        self.region = region
        self.host = host
        self.store_address = store_address
        self.process = None

    def start(self, *, bootstrap=True):
        settings = self.world.folder / f'{self.name}.conf'
        settings.write_text(self._settings(bootstrap))
        self.log = open(self.world.folder / f'{self.name}.log', 'ab')
        environment = {
            'PATH': os.environ.get('PATH', ''), 'HOME': str(self.world.folder),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'TURMERICPOST_BOOT': str(settings)}
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'turmericpost.platform'], cwd=ROOT,
            env=environment, stdout=self.log, stderr=self.log,
            stdin=subprocess.DEVNULL)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, READY), 0.5)
            writer.write(head('GET /-/ready HTTP/1.1', [('Host', 'x')]))
            answer = await asyncio.wait_for(read_head(reader), 0.5)
            abort(writer)
            return answer is not None and ' 200 ' in answer[0]
        except (OSError, asyncio.TimeoutError):
            return False

    def _settings(self, bootstrap):
        zones = '\n'.join(f'Zones.{zone}={region}'
                          for zone, region in self.world.zones.items())
        seeds = ','.join(
            f'{vm.host}:{CONTROL}' for vm in self.world.seed_vms())
        return f"""NodeName={self.name}
Role=entry
MachineClass=edge
Serves=edge,registry,control_plane
Ip={self.host}
Zone={self.zone}
Region={self.region}
{zones}
Listen.Front={self.host}:{FRONT}
Listen.Ready={self.host}:{READY}
Listen.Control={self.host}:{CONTROL}
Listen.Directory={self.host}:{DIRECTORY}
InternalPortRange=7540,7555
Seeds={seeds}
Bootstrap={str(bootstrap).lower()}
LossCounts=false
Limits.CpuShare=0.86
Limits.Cores=1
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=registry
HeartbeatMs={int(self.world.heartbeat_s * 1000)}
Contracts=base,drain,config,cost,retry,recover,health,places,platform
FaultTolerance.Machines=1
FaultTolerance.Zones=1
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.AddrReuseS=2
Bounds.StableWindowMs=3000
Bounds.AckMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.LostMs=200
Bounds.ConfigMs=2000
Bounds.RollbackSlackMs=250
Bounds.MaxSkewMs=5000
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.RetryBudgetSlack=62
Bounds.ColdOver=1.5
Bounds.ColdSlack=5
Bounds.EvacuationMs=5000
Bounds.RecoveryS=15
Bounds.ttl_max_s=5
Bounds.ProbesPerS=60
Platform.Address={self.store_address}
Platform.form=log
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.parts=8
Platform.AppendMs=4.0
Platform.IngressPerS=20.0
Platform.EgressPerS=80.0
Platform.RecordBytes=262144
Platform.CallBytes=2097152
Platform.keep_s=300
Platform.PartMb=200
Platform.TtlMinMs=1000
"""


class World:
    """A small deployment on loopback addresses 127.B.C.x of a free block."""

    def __init__(self, zones, folder):
        self.zones = zones
        self.folder = Path(folder)
        self.heartbeat_s = 1.5
        self.block = f'127.{random.randrange(20, 250)}.{random.randrange(250)}'
        self.vms = []
        self.targets = []
        self.calls = []
        self.began_s = now()
        self.store = Store(self)
        self.notes = []

    def at(self, moment=None):
        return round((now() if moment is None else moment) - self.began_s, 3)

    def note(self, text):
        self.notes.append(f'{self.at():8.3f} {text}')
        print(self.notes[-1], flush=True)

    def seed_vms(self):
        return self.vms[:3]

    def by_distance(self, zone):
        region = self.zones[zone]
        return sorted(
            self.vms, key=lambda vm: (vm.zone != zone, vm.region != region,
                                      random.random()))[:3]

    def vm_at(self, address):
        host = address.partition(':')[0]
        return next((vm.name for vm in self.vms if vm.host == host), address)

    def add_vms(self, per_zone):
        number = 10
        for index in range(per_zone):
            for zone, region in self.zones.items():
                number += 1
                name = f'edge-{zone}-{index + 1}'
                host = f'{self.block}.{number}'
                door = f'{self.block}.{number + 100}'
                self.vms.append(
                    Vm(self, name, zone, region, host, f'{door}:{STORE}'))

    async def open(self):
        for vm in self.vms:
            await self.store.open_door(
                vm.name, vm.store_address.partition(':')[0], STORE)

    async def add_target(self, identity, service, zone, kind=None,
                         cold_s=0, **options):
        number = 200 + len(self.targets)
        target = (kind or Target)(self, identity, service, zone,
                                  f'{self.block}.{number}', **options)
        if cold_s:
            target.become_cold(cold_s)
        self.targets.append(target)
        await target.start()
        return target

    def configure(self, version, services, routes, limits=None):
        body = {
            'Version': version,
            'Services': services, 'Routes': routes,
            'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 67108864,
                       'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000,
                       **(limits or {})}}
        return self.store.put('keyed.op', 'config', json.dumps(body).encode())

    def start_vms(self):
        for vm in self.vms:
            vm.start()

    async def wait_ready(self, within_s=25):
        until = now() + within_s
        while now() < until:
            if all([await vm.is_ready() for vm in self.vms]):
                return True
            await asyncio.sleep(0.1)
        for vm in self.vms:
            log = (self.folder / f'{vm.name}.log').read_text()
            self.note(f'{vm.name} is not ready: {vm.process.poll()} '
                      f'{log[-400:]!r}')
        return False

    def close(self):
        for vm in self.vms:
            vm.end()
        for target in self.targets:
            target.stop()

    def vm_of(self):
        return {call['id']: call for call in self.calls}

    def write_record(self, path, extra):
        lines = ['# notes: seconds since the start', *self.notes, *extra,
                 '# calls: sent at, id, vm, status']
        lines.extend(
            f"{self.at(call['sent_s']):8.3f} {call['id']} {call['vm']} "
            f"{call['status']}" for call in self.calls)
        for target in self.targets:
            lines.append(f'# runs of {target.identity}: began at, id')
            lines.extend(f'{self.at(moment):8.3f} {call_id}'
                         for moment, call_id in target.runs)
        Path(path).write_text('\n'.join(lines) + '\n')


def service(name, **more):
    return {'Name': name, 'HealthCheckPath': '/health', 'MaxConnections': 260,
            'WarmupS': 3.0, 'WarmupPerS': 9, **more}


def route(name, service_name, **more):
    return {'Name': name, 'Host': HOST, 'PathPrefix': '/lepu270/',
            'Service': service_name, 'RouteType': 'idempotent',
            'TimeoutMs': 800, 'SloLatencyMs': 250, 'MaxAttempts': 2,
            'Priority': 2, **more}


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix='review-')


def in_trouble():
    return os.environ.get('TROUBLE', '1') != '0'


def run(main, limit_s=115):
    """Run a case and exit with its result; 2 if it could not run.

    A signal to end leaves no process behind, either.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        sys.exit(asyncio.run(asyncio.wait_for(main(), limit_s)))
    except Exception as error:  # the case could not run
        print(f'could not run: {error!r}', flush=True)
        sys.exit(2)
