"""Stand-ins for the surroundings of the balancer: the platform's store and routers, servers, clients.

They follow the users' pages (PROTOCOL.md, NEWS*.md): HTTP store with revisions, pages and watches;
packets with a keyed sum; servers that answer clients directly; routers that hash flows over the
machines that are in. All addresses are loopback addresses. Nothing here needs a package.
"""

import asyncio
import base64
import bisect
import hashlib
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit, unquote

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SYN, ACK, FIN, RST, BOUNCED = 4, 2, 128, 64, 16
HEAD = struct.Struct(">HIIHIHIIBBI")
SUM_KEY = b"known to clients and servers only"
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
STORE_IP = "127.200.1.7"
ROUTE_IP = "127.198.0.1"
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_timeout_ms": 5000, "catchup_s": 4,
    "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000,
    "rollback_slack_ms": 250, "max_stretch_ms": 12000, "recover_s": 12, "flow_ms": 2000,
    "max_flow_s": 60,
}


class CannotRun(Exception):
    """The case could not be played (exit code 2)."""


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, folder):
        self.start = now()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text, at=None):
        self.file.write(f"{(at or now()) - self.start:8.3f} {text}\n")

    def close(self):
        self.file.close()


def ip_number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    __slots__ = ("src", "sport", "dst", "dport", "flags", "pad", "echo", "seq", "ack", "data", "sum")

    def __init__(self, src, sport, dst, dport, flags, echo=0, seq=0, ack=0, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.pad, self.echo, self.seq, self.ack = flags, 0, echo, seq, ack
        self.data, self.sum = data, 0

    def keyed_sum(self):
        head = HEAD.pack(len(self.data), 0, self.src, self.dport, self.dst, self.sport, self.seq,
                         self.ack, self.flags & ~BOUNCED, 0, 0)
        digest = hashlib.blake2b(head + self.data, digest_size=4, key=SUM_KEY).digest()
        return struct.unpack(">I", digest)[0] or 1

    def encode(self):
        self.sum = self.keyed_sum()
        return HEAD.pack(len(self.data), self.echo, self.src, self.dport, self.dst, self.sport,
                         self.seq, self.ack, self.flags, self.pad, self.sum) + self.data

    @staticmethod
    def decode(raw):
        length, echo, src, dport, dst, sport, seq, ack, flags, pad, total = HEAD.unpack(raw[:32])
        packet = Packet(src, sport, dst, dport, flags, echo, seq, ack, bytes(raw[32:32 + length]))
        packet.pad, packet.sum = pad, total
        return packet


def server_number(server_id):
    return int(server_id.rsplit("-", 1)[1], 16)


class Store:
    """The platform's store: linearizable unless stale=1 is asked for; keeps 20 s of history."""

    HISTORY_S = 20.0
    ANSWER_S = 0.004

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.log = []          # (revision, written at, key, item text, is gone), oldest first
        self.items = {}        # key -> (created, item text)
        self.changed = asyncio.Event()
        self.stale_lag = lambda call: 0.0   # seconds that the n-th stale read of a connection is behind
        self.is_deaf = False   # watches hear nothing
        self.forgotten = 0     # revisions up to this one are no longer in the history
        self.calls = []

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, STORE_IP, port)

    def put(self, key, value):
        self.revision += 1
        created = self.items[key][0] if key in self.items else self.revision
        text = json.dumps({"key": key, "value": base64.b64encode(value.encode()).decode(),
                           "revision": self.revision, "created": created, "lease": 0})
        self.items[key] = (created, text)
        self.append(key, text, False)
        return self.revision

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.append(key, json.dumps({"key": key, "revision": self.revision, "gone": True}), True)
        return self.revision

    def append(self, key, text, gone):
        self.log.append((self.revision, now(), key, text, gone))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def compact(self, seconds):
        """Watches hear nothing for that long; then all history is dropped."""
        self.is_deaf = True
        self.record.write("store: watches hear nothing")
        await asyncio.sleep(seconds)
        self.is_deaf, self.forgotten = False, self.revision
        self.record.write(f"store: history up to {self.forgotten} is forgotten")
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def forget(self):
        oldest = now() - self.HISTORY_S
        for revision, written, _, _, _ in self.log:
            if written >= oldest:
                break
            self.forgotten = max(self.forgotten, revision)

    def state(self, seconds_behind):
        """@return the revision and the items as they were that many seconds ago."""
        if seconds_behind <= 0:
            return self.revision, {key: text for key, (_, text) in self.items.items()}
        until = now() - seconds_behind
        revision, items = 100, {}
        for entry_revision, written, key, text, gone in self.log:
            if written > until:
                break
            revision = entry_revision
            if gone:
                items.pop(key, None)
            else:
                items[key] = text
        return revision, items

    def range(self, query, stale_calls):
        prefix = query.get("path_prefix", [""])[0]
        after = query.get("after", [""])[0]
        stale = query.get("stale", ["0"])[0] == "1"
        behind = self.stale_lag(stale_calls) if stale else 0.0
        at, items = self.state(behind)
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys:
            if page and (len(page) == PAGE_ITEMS or size + len(items[key]) > PAGE_BYTES):
                break
            page.append(items[key])
            size += len(items[key])
        more = len(page) < len(keys)
        self.record.write(f"store: range prefix={prefix!r} after={after!r} stale={int(stale)} -> "
                          f"{len(page)} items, more={more}, at={at} (newest {self.revision})")
        text = '{"items":[%s],"more":%s,"at":%d}' % (",".join(page), str(more).lower(), at)
        return 200, text.encode()

    async def watch(self, query):
        prefix = query.get("path_prefix", [""])[0]
        after = int(query.get("after", ["0"])[0])
        deadline = now() + min(30000, int(query.get("wait_ms", ["0"])[0])) / 1000
        while True:
            self.forget()
            if after < self.forgotten:
                self.record.write(f"store: watch after={after} -> 410")
                return 410, b"{}"
            first = bisect.bisect_right(self.log, after, key=lambda entry: entry[0])
            events = [] if self.is_deaf else [e[3] for e in self.log[first:]
                                              if e[2].startswith(prefix)]
            left = deadline - now()
            if self.is_deaf and left <= 0:
                # An answer without events would claim that there were none.
                left = 1.0
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        text = '{"events":[%s],"at":%d}' % (",".join(events), self.revision)
        if events:
            self.record.write(f"store: watch after={after} -> {len(events)} events, "
                              f"{len(text)} bytes, at={self.revision}")
        return 200, text.encode()

    async def serve(self, reader, writer):
        stale_calls = 0
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                parts = urlsplit(target)
                query = parse_qs(parts.query, keep_blank_values=True)
                await asyncio.sleep(self.ANSWER_S)
                if parts.path == "/kv-range":
                    status, body = self.range(query, stale_calls)
                    stale_calls += 1 if query.get("stale", ["0"])[0] == "1" else 0
                elif parts.path == "/kv-watch":
                    status, body = await self.watch(query)
                else:
                    status, body = 404, b"{}"
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Server:
    """A server of a service. Answers clients directly; keeps itself in the store."""

    def __init__(self, world, server_id, service, zone, ip, port, work_s=0.015, warmup_s=0.0):
        self.world, self.id, self.service, self.zone = world, server_id, service, zone
        self.ip, self.port, self.work_s = ip, port, work_s
        self.number = server_number(server_id)
        self.flows = {}
        self.state, self.cold_until = "ready", now() + warmup_s
        self.seq = 0
        self.living = True
        self.openings = []     # (time, machine, flow)
        self.runs = []         # (time, attempt id)
        self.packets = []      # (time, machine, flow, was meant for this server)
        self.socket = udp_socket(ip, port)
        asyncio.get_event_loop().add_reader(self.socket, self.readable)
        self.announce()

    @property
    def key(self):
        return "servers/" + self.id

    def announce(self):
        self.seq += 1
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                 "version": "v1", "capacity": 2, "state": self.state,
                 "warmup_left_ms": max(0, round((self.cold_until - now()) * 1000)),
                 "seq": self.seq}
        return self.world.store.put(self.key, json.dumps(entry, separators=(",", ":")))

    def drain(self):
        self.state = "draining"
        revision = self.announce()
        self.world.record.write(f"server {self.id}: store acknowledged draining, revision {revision}")
        return now()

    def leave(self):
        revision = self.world.store.remove(self.key)
        self.world.record.write(f"server {self.id}: store acknowledged that it is gone, "
                                f"revision {revision}")
        return now()

    def end(self):
        self.living = False
        asyncio.get_event_loop().remove_reader(self.socket)
        self.socket.close()
        self.world.record.write(f"server {self.id}: ended")

    def readable(self):
        while self.living:
            try:
                raw, sender = self.socket.recvfrom(2048)
            except (BlockingIOError, ConnectionError):
                return
            meant = struct.unpack(">Q", raw[:8])[0]
            packet = Packet.decode(raw[8:])
            machine = self.world.machine_at(sender)
            flow = (packet.src, packet.sport, packet.dst, packet.dport)
            self.packets.append((now(), machine, flow, meant in (0, self.number)))
            if meant not in (0, self.number):
                continue
            if packet.sum != packet.keyed_sum():
                self.world.record.write(f"server {self.id}: FORGED packet from {machine}")
                continue
            self.on_packet(packet, flow, machine)

    def send(self, flow, flags, seq, ack, echo, data=b""):
        src, sport, dst, dport = flow
        packet = Packet(dst, dport, src, sport, flags, echo, seq, ack, data)
        try:
            self.socket.sendto(packet.encode(), (ip_text(src), self.world.packet_port))
        except OSError:
            pass

    def on_packet(self, packet, flow, machine):
        world = self.world
        state = self.flows.get(flow)
        if packet.flags & SYN:
            if state is None:
                state = {"seq": random.randrange(1 << 32), "next": (packet.seq + 1) % (1 << 32),
                         "open": False, "answer": None, "closed": False}
                self.flows[flow] = state
                self.openings.append((now(), machine, flow))
                world.record.write(f"server {self.id}: opening packet of {text_of(flow)} through "
                                   f"{machine}")
            if not state["open"]:
                self.send(flow, SYN | ACK, state["seq"], state["next"], packet.echo)
            return
        if packet.flags & RST:
            self.flows.pop(flow, None)
            return
        if state is None:
            self.send(flow, RST, packet.ack, 0, packet.echo)
            world.record.write(f"server {self.id}: reset {text_of(flow)}, a flow it does not hold, "
                               f"through {machine}")
            return
        if not state["open"] and packet.ack == (state["seq"] + 1) % (1 << 32):
            state["open"] = True
            state["mine"] = packet.ack
        if not state["open"]:
            return
        if packet.data and packet.seq == state["next"]:
            state["next"] = (state["next"] + len(packet.data)) % (1 << 32)
            asyncio.get_event_loop().call_later(self.work_s, self.run, flow, state, packet)
            attempt = attempt_of(packet.data)
            self.runs.append((now(), attempt))
            world.record.write(f"server {self.id}: runs {attempt} of {text_of(flow)}")
        elif packet.data:
            if state["answer"]:
                self.send(flow, ACK, state["answer"][0], state["next"], packet.echo,
                          state["answer"][1])
            else:
                self.send(flow, ACK, state["mine"], state["next"], packet.echo)
        if packet.flags & FIN:
            state["closed"] = True
            self.send(flow, ACK | FIN, state["mine"], (state["next"] + 1) % (1 << 32), packet.echo)

    def run(self, flow, state, packet):
        if not self.living:
            return
        body = f"done by {self.id} {attempt_of(packet.data)}"
        answer = (f"HTTP/1.1 200 OK\r\nX-Lugfork-Response-Signature: s\r\n"
                  f"Content-Length: {len(body)}\r\n\r\n{body}").encode()
        state["answer"] = (state["mine"], answer)
        self.send(flow, ACK, state["mine"], state["next"], packet.echo, answer)
        state["mine"] = (state["mine"] + len(answer)) % (1 << 32)


def attempt_of(data):
    found = re.search(rb"X-Lugfork-Attempt-Id: (\S+)", data)
    return found.group(1).decode() if found else "?"


def text_of(flow):
    return f"{ip_text(flow[0])}:{flow[1]}>{ip_text(flow[2])}:{flow[3]}"


def udp_socket(ip, port):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((ip, port))
    return sock


class Flow:
    """A client's flow: opens it, sends requests on it, resends what is not acknowledged."""

    def __init__(self, client, route_port, pick=None):
        self.client, self.world = client, client.world
        client.next_port = 30000 + (client.next_port - 30000 + 1) % 30000
        self.key = (ip_number(client.ip), client.next_port, ip_number(ROUTE_IP), route_port)
        self.pick = pick or (lambda: client.world.router.pick(client.zone, self.key))
        self.echo, self.seq, self.ack = 0, random.randrange(1 << 32), 0
        self.start_seq = self.seq
        self.open, self.reset, self.reset_by_system = False, None, False
        self.inbox = asyncio.Queue()
        self.sent = []         # (time, machine)
        client.flows[self.key[1]] = self

    def send(self, flags, ack, data=b""):
        src, sport, dst, dport = self.key
        machine = self.pick()
        packet = Packet(src, sport, dst, dport, flags, 0 if flags & SYN else self.echo, self.seq,
                        ack, data)
        self.sent.append((now(), machine.name if machine else None))
        if machine:
            self.client.socket.sendto(packet.encode(), (machine.ip, self.world.packet_port))

    def on_packet(self, packet):
        if packet.flags & RST:
            self.reset = now()
            self.reset_by_system = packet.sum == 0
            origin = "the system" if packet.sum == 0 else "a server"
            self.world.record.write(f"client: {text_of(self.key)} got a reset from {origin}, "
                                    f"open={self.open}")
            self.inbox.put_nowait(None)
            return
        if packet.sum != packet.keyed_sum():
            self.world.record.write(f"client: FORGED packet for {text_of(self.key)}")
            return
        self.inbox.put_nowait(packet)

    async def receive(self, until):
        try:
            return await asyncio.wait_for(self.inbox.get(), max(0.001, until - now()))
        except asyncio.TimeoutError:
            return "timeout"

    async def connect(self):
        """@return True once the flow is open at the client."""
        started = now()
        for copy, (begin, end) in enumerate(((0, 0.2), (0.2, 0.6), (0.6, 1.4))):
            self.send(SYN, copy)
            while now() < started + end:
                packet = await self.receive(started + end)
                if packet is None:
                    return False
                if packet != "timeout" and packet.flags & SYN and packet.flags & ACK:
                    self.echo = packet.echo
                    self.seq = (self.start_seq + 1) % (1 << 32)
                    self.ack = (packet.seq + 1) % (1 << 32)
                    self.server_seq = packet.seq
                    self.open = True
                    return True
        return False

    async def request(self, attempt, deadline_s=2.0):
        """@return the body of the answer, "reset" or "timeout"."""
        data = (f"POST /x HTTP/1.1\r\nHost: x\r\nX-Lugfork-Attempt-Id: {attempt}\r\n"
                f"Content-Length: 0\r\n\r\n").encode()
        deadline, wait, next_send = now() + deadline_s, 0.2, 0.0
        acknowledged = False
        while now() < deadline and not self.reset:
            if now() >= next_send and not acknowledged:
                self.send(ACK, self.ack, data)
                next_send, wait = now() + wait, min(1.6, wait * 2)
            packet = await self.receive(min(deadline, next_send if not acknowledged else deadline))
            if packet is None:
                return "reset"
            if packet == "timeout" or packet.flags & SYN:
                continue
            self.echo = packet.echo
            if packet.ack == (self.seq + len(data)) % (1 << 32):
                acknowledged = True
            if packet.data and packet.seq == self.ack:
                self.seq = (self.seq + len(data)) % (1 << 32)
                self.ack = (self.ack + len(packet.data)) % (1 << 32)
                return packet.data.split(b"\r\n\r\n", 1)[1].decode()
        return "reset" if self.reset else "timeout"

    def close(self):
        if self.open and not self.reset:
            self.send(FIN | ACK, self.ack)
        asyncio.get_event_loop().call_later(2, self.client.flows.pop, self.key[1], None)


class Client:
    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone = world, ip, zone
        self.flows, self.next_port = {}, 30000 + random.randrange(30000)
        self.socket = udp_socket(ip, world.packet_port)
        asyncio.get_event_loop().add_reader(self.socket, self.readable)

    def readable(self):
        while True:
            try:
                raw, _ = self.socket.recvfrom(2048)
            except (BlockingIOError, ConnectionError):
                return
            packet = Packet.decode(raw)
            flow = self.flows.get(packet.dport)
            if flow:
                flow.on_packet(packet)

    async def call(self, route_port, attempt, pick=None):
        """One request on a flow of its own. @return the outcome and the flow."""
        sent = now()
        flow = Flow(self, route_port, pick)
        if not await flow.connect():
            outcome = "reset" if flow.reset else "not opened"
        else:
            outcome = await flow.request(attempt)
        flow.close()
        machine = flow.sent[0][1]
        self.world.record.write(f"client: {attempt} on {text_of(flow.key)} through {machine}, sent "
                                f"{sent - self.world.record.start:.3f}: {outcome}")
        return outcome, flow


class Machine:
    """One configured machine: one process with the run command of the deploy file."""

    def __init__(self, world, name, zone, ip, store_port=None):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.process, self.started, self.is_in, self.misses = None, None, False, 0
        self.store_port = store_port or world.store_port
        self.settings = os.path.join(world.folder, name + ".toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(world.settings_of(self))

    def start(self):
        command = [os.path.join(ROOT, "target", "lugfork-packetd"), "--settings", self.settings]
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.started = now()
        self.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                                        stderr=log, env={"PATH": os.environ.get("PATH", ""),
                                                         "LUGFORK_CONFIG": self.settings})
        log.close()
        self.world.record.write(f"machine {self.name}: started, process {self.process.pid}")

    async def stop(self, number):
        """Sends a signal that ends the process; SIGKILL follows after the grace period."""
        self.world.record.write(f"machine {self.name}: signal {number}")
        self.process.send_signal(number)
        deadline = now() + self.world.bounds["grace_s"]
        while self.process.poll() is None:
            if now() > deadline:
                self.process.kill()
            await asyncio.sleep(0.01)
        self.world.record.write(f"machine {self.name}: ended with {self.process.returncode}")

    def last_line(self):
        with open(os.path.join(self.world.folder, self.name + ".log"), encoding="utf-8") as file:
            return (file.read().splitlines() or [""])[-1][:300]

    def in_touch(self, at):
        """@return True if its process ran throughout contact_ms before that time."""
        return self.process is not None and at - self.started >= self.world.bounds["contact_ms"] / 1000


class Link:
    """A machine's link to the store: passes on what comes from the store at the link's rate."""

    CHUNK = 4096

    def __init__(self, store_port, mbps):
        self.target, self.bytes_per_s = (STORE_IP, store_port), mbps * 1e6 / 8
        self.free_at = 0.0

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, STORE_IP, port)

    async def serve(self, reader, writer):
        try:
            store_reader, store_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(self.copy(reader, store_writer, False),
                                 self.copy(store_reader, writer, True))
        except (OSError, asyncio.CancelledError):
            pass
        writer.transport.abort()
        store_writer.transport.abort()

    async def copy(self, reader, writer, is_limited):
        while data := await reader.read(self.CHUNK):
            if is_limited:
                self.free_at = max(self.free_at, now()) + len(data) / self.bytes_per_s
                await asyncio.sleep(max(0.0, self.free_at - now()))
            writer.write(data)
            await writer.drain()
        writer.close()


class Router:
    """The platform's routers: readiness twice a second, hash over the machines that are in."""

    def __init__(self, world):
        self.world = world
        self.weights = {}

    async def probe(self, machine):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(machine.ip, self.world.ready_port), 0.4)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def check(self, machine):
        while True:
            is_ready = await self.probe(machine)
            machine.misses = 0 if is_ready else machine.misses + 1
            was_in = machine.is_in
            machine.is_in = is_ready or (machine.is_in and machine.misses < 2)
            if machine.is_in != was_in:
                self.world.record.write(f"router: {machine.name} is {'in' if machine.is_in else 'out'}")
            await asyncio.sleep(0.5)

    def pick(self, zone, key):
        machines = [m for m in self.world.machines.values() if m.zone == zone]
        inside = [m for m in machines if m.is_in]
        if machines and len(inside) * 2 < len(machines):
            inside = machines if inside else []
        if not inside:
            inside = [m for m in self.world.machines.values() if m.is_in]
        if not inside:
            return None
        number = struct.unpack(">I", hashlib.blake2b(repr(key).encode(), digest_size=4).digest())[0]
        return inside[number % len(inside)]


class World:
    """Everything around the balancers; one event loop plays it."""

    def __init__(self, folder):
        self.case = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="lugfork-review-")
        self.store = Store(self.record)
        self.router = Router(self)
        self.machines, self.servers, self.tasks = {}, {}, []
        self.service_fields = {}
        # Bounds and links of the small site; a case may set those of another one.
        self.bounds, self.link_mbps = dict(BOUNDS), 1000.0
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 4096)), hard))
        # The metrics port is the same in all deployments: a run reserves addresses of its own.
        self.reservation = None
        while self.reservation is None:
            self.net = random.randrange(1, 250)
            try:
                self.reservation = udp_socket(f"127.254.{self.net}.1", 9464)
            except OSError:
                continue
        base = self.free_ports(6)
        (self.packet_port, self.ready_port, self.control_port, self.peer_port, self.store_port,
         self.server_port) = base

    @staticmethod
    def free_ports(count):
        ports = []
        while len(ports) < count:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
                tcp.bind(("0.0.0.0", 0))
                port = tcp.getsockname()[1]
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                    try:
                        udp.bind(("0.0.0.0", port))
                    except OSError:
                        continue
                ports.append(port)
        return ports

    def machine_ip(self, number):
        return f"127.{number}.{self.net}.10"

    def settings_of(self, machine):
        fields = {
            "node": machine.name, "zone": machine.zone, "ip": machine.ip,
            "listen": {"packet_addr": f"{machine.ip}:{self.packet_port}",
                       "ready": f"{machine.ip}:{self.ready_port}",
                       "control": f"{machine.ip}:{self.control_port}"},
            "port_range": [self.peer_port, self.peer_port],
            "seeds": [f"{ip}:{self.control_port}" for ip in self.seed_ips],
            "platform": {"address": f"{STORE_IP}:{machine.store_port}", "reads_per_s": 2000},
            "limits": {"link_mbps": self.link_mbps}, "bounds": self.bounds,
        }
        with open(os.path.join(ROOT, "platform", "settings.toml.template"), encoding="utf-8") as file:
            return fill(file.read(), fields)

    def add_machine(self, name, zone, ip, store_port=None):
        machine = self.machines[name] = Machine(self, name, zone, ip, store_port)
        self.tasks.append(asyncio.create_task(self.router.check(machine)))
        return machine

    def add_server(self, server_id, service, zone, ip, **more):
        server = Server(self, server_id, service, zone, ip, self.server_port, **more)
        self.servers[server_id] = server
        return server

    def machine_at(self, sender):
        for machine in self.machines.values():
            if machine.ip == sender[0] and sender[1] == self.packet_port:
                return machine.name
        return f"{sender[0]}:{sender[1]}"

    def put_config(self, version, routes, services):
        """@param routes (name, port, service). @return when the store acknowledged the version."""
        document = {
            "version": version,
            "routes": [{"name": name, "host": ROUTE_IP, "path_prefix": f"/{port}/",
                        "type": "non_idempotent", "timeout_ms": 2000, "target_ms": 120,
                        "priority": 1, "service": service, "max_attempts": 2}
                       for name, port, service in routes],
            "services": [{"name": name, "health_path": "/health", "max_conns": 2000,
                          "protocol": "h1", "tls": False, **self.service_fields}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        }
        text = json.dumps(document, separators=(",", ":"))
        revision = self.store.put("op/config", text)
        self.record.write(f"operator: store acknowledged version {version} ({len(text)} bytes, "
                          f"{len(routes)} routes), revision {revision}")
        return now()

    async def wait_ready(self, names, seconds):
        deadline = now() + seconds
        while not all(self.machines[name].is_in for name in names):
            for name in names:
                if self.machines[name].process.poll() is not None:
                    raise CannotRun(f"{name} ended by itself: {self.machines[name].last_line()}")
            if now() > deadline:
                raise CannotRun("machines did not become ready")
            await asyncio.sleep(0.05)

    def finish(self):
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def fill(text, fields):
    """Fills the gaps of a settings template that this project's template uses."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(lambda m: m.group(2) if lookup(fields, m.group(1)) else "", text)

    def gap(match):
        value = lookup(fields, match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


def run_case(folder, play):
    """Runs `play(world)`, which returns the list of violations; exits with 0, 1 or 2."""

    async def main():
        world = World(folder)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_event_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            if not os.access(os.path.join(ROOT, "target", "lugfork-packetd"), os.X_OK):
                raise CannotRun("target/lugfork-packetd is missing: run the build of the deploy file")
            await world.store.start(world.store_port)
            violations = await asyncio.wait_for(play(world), 115)
            for violation in violations:
                world.record.write("VIOLATION " + violation)
            world.record.write(f"result: {'broken' if violations else 'held'}")
            print(f"{len(violations)} violation(s)" + (": " + violations[0] if violations else ""))
            return 1 if violations else 0
        except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as problem:
            world.record.write(f"could not run: {problem!r}")
            print(f"could not run: {problem!r}")
            return 2
        finally:
            world.finish()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    sys.exit(asyncio.run(main()))
