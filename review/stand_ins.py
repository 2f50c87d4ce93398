"""Stand-ins for what surrounds lugfork-packetd: the platform's store, clients and servers.

Everything runs on one asyncio event loop, on loopback addresses and the real clock. The balancers
are real processes, started with the `run` command of deploy/system.toml and a settings file that
is filled from the project's own template.
"""

import asyncio
import bisect
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
import zlib
from base64 import b64encode

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SYN, ACK, FIN, RST, BOUNCED = 4, 2, 128, 64, 16
HEAD = struct.Struct(">HIIHIHIIBBI")
SUM_KEY = b"known to clients and servers only"

BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_timeout_ms": 5000,
    "catchup_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_stretch_ms": 12000, "recover_s": 12,
    "flow_ms": 2000, "max_flow_s": 60,
}
# Added to every bound, for the delays of this script itself.
MARGIN_S = 0.1


class CannotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text, echo=False):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        if echo:
            print(line, flush=True)

    def close(self):
        self.file.close()


# ---------------------------------------------------------------------------------------- packets


def keyed_sum(head, data):
    length, _, src, dport, dst, sport, seq, ack, flags, _, _ = head
    covered = HEAD.pack(length, 0, src, dport, dst, sport, seq, ack, flags & ~BOUNCED, 0, 0)
    return zlib.crc32(SUM_KEY + covered + data) or 1


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, echo=0, data=b"", total=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.echo = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, echo
        self.data, self.total = data, total

    def head(self, total):
        return (len(self.data), self.echo, self.src, self.dport, self.dst, self.sport, self.seq,
                self.ack, self.flags, 0, total)

    def encode(self):
        return HEAD.pack(*self.head(keyed_sum(self.head(0), self.data))) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        head = HEAD.unpack_from(raw)
        length, echo, src, dport, dst, sport, seq, ack, flags, _, total = head
        data = raw[HEAD.size:]
        if length != len(data):
            return None
        packet = Packet(src, sport, dst, dport, flags, seq, ack, echo, data, total)
        packet.genuine = total == keyed_sum(head, data)
        return packet


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, on_datagram):
        self.on_datagram = on_datagram

    def datagram_received(self, data, addr):
        self.on_datagram(data, addr)


async def open_udp(ip, port, on_datagram):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Datagrams(on_datagram), local_addr=(ip, port))
    return transport


# ------------------------------------------------------------------------------------------ store


class Store:
    """The platform's store, read by range and by watch, as the pages describe it.

    stale_lag(n) is the age in seconds of the n-th stale read's answer.
    """

    PAGE_ITEMS = 500
    PAGE_BYTES = 1_000_000
    HISTORY_S = 20
    ANSWER_S = 0.004

    def __init__(self, record, stale_lag=lambda n: 0.0):
        self.record = record
        self.stale_lag = stale_lag
        self.stale_reads = 0
        self.revision = 100
        self.versions = {}      # key -> [(time, revision, created, encoded value or None)]
        self.keys = []          # sorted
        self.events = []        # (revision, time, key, JSON text)
        self.forgotten_to = 0   # highest revision whose event is forgotten
        self.changed = asyncio.Event()
        self.long_watch = asyncio.Event()  # set when a watch with a long wait begins
        self.server = None

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, key, value):
        """Writes an item. The return of this call is the store's acknowledgement."""
        self.revision += 1
        history = self.versions.setdefault(key, [])
        if not history:
            bisect.insort(self.keys, key)
        alive = history and history[-1][3] is not None
        created = history[-1][2] if alive else self.revision
        encoded = b64encode(value.encode()).decode()
        history.append((time.monotonic(), self.revision, created, encoded))
        self.add_event(key, self.item_text(key, history[-1]))
        return self.record.now()

    def remove(self, key):
        self.revision += 1
        self.versions[key].append((time.monotonic(), self.revision, 0, None))
        self.add_event(key, json.dumps({"key": key, "revision": self.revision, "gone": True}))
        return self.record.now()

    def add_event(self, key, text):
        self.events.append((self.revision, time.monotonic(), key, text))
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def item_text(key, version):
        return json.dumps({"key": key, "value": version[3], "revision": version[1],
                           "created": version[2], "lease": 0})

    def forget(self):
        limit = time.monotonic() - self.HISTORY_S
        while self.events and self.events[0][1] < limit:
            self.forgotten_to = self.events.pop(0)[0]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, target, _ = head.split(b"\r\n")[0].decode().split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, body = await self.answer(method, url.path, query)
                self.record.write(f"store: {target} -> {status}, {len(body)} bytes")
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query):
        await asyncio.sleep(self.ANSWER_S)
        if method == "GET" and path == "/kv-range":
            return 200, self.range(query)
        if method == "GET" and path == "/kv-watch":
            return await self.watch(query)
        return 404, b"{}"

    def range(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        as_of = time.monotonic()
        if query.get("stale") == "1":
            self.stale_reads += 1
            as_of -= self.stale_lag(self.stale_reads)
        at = 100
        items, size, more = [], 0, False
        for history in self.versions.values():
            for version in history:
                if version[0] <= as_of:
                    at = max(at, version[1])
        for key in self.keys:
            if not key.startswith(prefix) or (after and key <= after):
                continue
            known = [version for version in self.versions[key] if version[0] <= as_of]
            if not known or known[-1][3] is None:
                continue
            text = self.item_text(key, known[-1])
            if items and (len(items) == self.PAGE_ITEMS or size + len(text) > self.PAGE_BYTES):
                more = True
                break
            items.append(text)
            size += len(text)
        if query.get("stale") == "1":
            self.record.write(f"store: stale page after {after!r} shows revision {at}, "
                              f"now {self.revision}", echo=True)
        return ('{"items":[' + ",".join(items) + '],"more":' + json.dumps(more) +
                ',"at":' + str(at) + "}").encode()

    async def watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        wait_s = int(query["wait_ms"]) / 1000
        deadline = time.monotonic() + wait_s
        if wait_s > 0.5:
            self.long_watch.set()
        while True:
            self.forget()
            if after < self.forgotten_to:
                return 410, b"{}"
            events = [text for revision, _, key, text in self.events
                      if revision > after and key.startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, ('{"events":[' + ",".join(events) + '],"at":' +
                             str(self.revision) + "}").encode()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class StoreProxy:
    """Passes connections on to the store. silence() makes the open ones say nothing for good.

    link_mbps limits what the store's answers may take of a machine's link.
    """

    CHUNK_BYTES = 12000

    def __init__(self, store_address, link_mbps=None):
        host, port = store_address.split(":")
        self.bytes_per_s = None if link_mbps is None else link_mbps * 1e6 / 8
        self.link, self.link_free_at = asyncio.Lock(), 0.0
        self.store = host, int(port)
        self.pipes = []
        self.cut = False
        self.server = None

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        pipe = {"silent": self.cut}
        self.pipes.append(pipe)
        try:
            store_reader, store_writer = await asyncio.open_connection(*self.store)
            writer.transport.set_write_buffer_limits(high=4 * self.CHUNK_BYTES)
            await asyncio.gather(self.pump(reader, store_writer, pipe),
                                 self.pump(store_reader, writer, pipe, self.pass_on))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.pipes.remove(pipe)
            writer.close()

    async def pump(self, reader, writer, pipe, pass_on=None):
        try:
            while data := await reader.read(self.CHUNK_BYTES):
                if pass_on is not None:
                    await pass_on(data)
                if not pipe["silent"]:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async def pass_on(self, data):
        """Keeps to the link's rate; all connections share it in turn, a few packets at a time."""
        if self.bytes_per_s is None:
            return
        async with self.link:
            now = time.monotonic()
            self.link_free_at = max(self.link_free_at, now) + len(data) / self.bytes_per_s
            await asyncio.sleep(self.link_free_at - now)

    def silence(self):
        for pipe in self.pipes:
            pipe["silent"] = True
        return len(self.pipes)


# ---------------------------------------------------------------------------------------- servers


class Server:
    """A server of a service. Notes each opening packet that it takes, and each request it runs."""

    def __init__(self, world, number, service, zone, ip, work_s=0.01):
        self.world, self.service, self.zone, self.ip = world, service, zone, ip
        self.number = number
        self.name = "i-%08x" % number
        self.key = "servers/" + self.name
        self.work_s = work_s
        self.flows = {}
        self.openings = []      # (arrival time, sent time, node ip, flow)
        self.out_since = None   # when the store acknowledged that it is draining or gone
        self.transport = None

    async def start(self):
        self.transport = await open_udp(self.ip, 0, self.on_datagram)
        self.port = self.transport.get_extra_info("sockname")[1]

    def entry(self, state="ready"):
        return json.dumps({"service": self.service, "address": f"{self.ip}:{self.port}",
                           "zone": self.zone, "version": "v1", "capacity": 2, "state": state,
                           "warmup_left_ms": 0, "seq": 1})

    def announce(self, state="ready"):
        acknowledged_at = self.world.store.put(self.key, self.entry(state))
        self.world.record.write(f"server {self.name} says {state}", echo=state != "ready")
        if state == "draining":
            self.out_since = acknowledged_at

    def leave_unannounced(self):
        """Its entry goes without a `draining`; it serves on."""
        self.out_since = self.world.store.remove(self.key)
        self.world.record.write(f"server {self.name}: entry gone, serves on", echo=True)

    def stop(self):
        self.world.record.write(f"server {self.name} ends", echo=True)
        self.transport.close()

    def on_datagram(self, raw, sender):
        meant = struct.unpack(">Q", raw[:8])[0] if len(raw) >= 8 else None
        packet = Packet.decode(raw[8:])
        if packet is None or meant not in (0, self.number) or not packet.genuine:
            return
        flow = packet.src, packet.sport, packet.dst, packet.dport
        if packet.flags & SYN:
            if packet.flags & ACK:
                return
            self.on_opening(flow, packet, sender[0])
        elif flow in self.flows:
            self.on_packet(flow, packet)
        elif not packet.flags & RST:
            self.send(flow, RST, packet.ack, 0, packet.echo)

    def on_opening(self, flow, packet, node_ip):
        record = self.world.record
        sent_at = self.world.sent_at.get((flow, packet.ack), record.now())
        self.openings.append((record.now(), sent_at, node_ip, flow))
        record.write(f"server {self.name} took the opening {flow_name(flow)} "
                     f"copy {packet.ack} from {node_ip}")
        if flow not in self.flows:
            self.flows[flow] = {"seq": random.getrandbits(32), "next": packet.seq + 1,
                                "data": b"", "answer": None}
        self.send(flow, SYN | ACK, self.flows[flow]["seq"], packet.seq + 1, packet.echo)

    def on_packet(self, flow, packet):
        state = self.flows[flow]
        if packet.flags & RST:
            del self.flows[flow]
            return
        if packet.flags & FIN:
            self.send(flow, FIN | ACK, state["seq"] + 1 + len(state["answer"] or b""),
                      packet.seq + 1, packet.echo)
            del self.flows[flow]
            return
        if not packet.data:
            return
        if packet.seq == state["next"] & 0xFFFFFFFF:
            state["next"] += len(packet.data)
            state["data"] += packet.data
            state["echo"] = packet.echo
            asyncio.get_running_loop().call_later(self.work_s, self.run, flow)
        elif state["answer"] is not None:
            self.send_answer(flow)

    def run(self, flow):
        state = self.flows.get(flow)
        if state is None or state["answer"] is not None:
            return
        found = re.search(rb"X-Lugfork-Attempt-Id: (\S+)", state["data"])
        attempt = found.group(1).decode() if found else "?"
        self.world.record.write(f"server {self.name} ran {attempt}")
        self.world.run.append((attempt, self))
        body = f"{attempt} by {self.name}".encode()
        state["answer"] = (b"HTTP/1.1 200 OK\r\nX-Lugfork-Response-Signature: s\r\n"
                           b"Content-Length: %d\r\n\r\n" % len(body)) + body
        self.send_answer(flow)

    def send_answer(self, flow):
        state = self.flows[flow]
        self.send(flow, ACK, state["seq"] + 1, state["next"], state["echo"], state["answer"])

    def send(self, flow, flags, seq, ack, echo, data=b""):
        if self.transport.is_closing():
            return
        src, sport, dst, dport = flow
        packet = Packet(dst, dport, src, sport, flags, seq, ack, echo, data)
        self.transport.sendto(packet.encode(), (ip_text(src), self.world.packet_port))


def flow_name(flow):
    return f"{ip_text(flow[0])}:{flow[1]}>{ip_text(flow[2])}:{flow[3]}"


# ---------------------------------------------------------------------------------------- clients


class Client:
    """Opens a flow for each request: opening, request, answer, close."""

    COPIES_S = (0.2, 0.6)
    ATTEMPT_S = 1.4
    DEADLINE_S = 2.0

    def __init__(self, world, ip):
        self.world, self.ip = world, ip
        self.flows = {}
        self.next_port = 20000 + random.randrange(1000)
        self.transport = None

    async def start(self):
        self.transport = await open_udp(self.ip, self.world.packet_port, self.on_datagram)

    async def request(self, node, route):
        """Sends one request on a flow of its own. @return ok, reset, unopened or late."""
        self.next_port += 1
        port = self.next_port
        attempt = f"a{len(self.world.outcomes)}-{port}"
        flow = ip_number(self.ip), port, ip_number(route[0]), route[1]
        state = {"seq": random.getrandbits(32), "opened": asyncio.Event(),
                 "ended": asyncio.Event(), "echo": 0, "result": None, "ack": 0}
        self.flows[port] = state
        sent_at = self.world.record.now()
        outcome = {"attempt": attempt, "sent_at": sent_at, "route": route, "node": node,
                   "flow": flow, "result": None}
        self.world.outcomes.append(outcome)
        self.world.record.write(f"client sends {attempt} on {flow_name(flow)} by {node.name}")
        try:
            outcome["result"] = await self.attempt(node, flow, state, attempt)
        finally:
            del self.flows[port]
        self.world.record.write(f"client: {attempt} {outcome['result']}")
        return outcome

    async def attempt(self, node, flow, state, attempt):
        started = time.monotonic()
        for copy, until in enumerate(self.COPIES_S + (self.ATTEMPT_S,)):
            self.world.sent_at[(flow, copy)] = self.world.record.now()
            self.send(node, flow, SYN, state["seq"], copy, 0)
            if await self.happens(state, "opened", started + until):
                break
        if state["result"] is not None:
            return state["result"]
        if not state["opened"].is_set():
            return "unopened"
        request = (f"POST / HTTP/1.1\r\nHost: x\r\nX-Lugfork-Attempt-Id: {attempt}\r\n"
                   f"Content-Length: 0\r\n\r\n").encode()
        wait = 0.2
        while time.monotonic() < started + self.DEADLINE_S:
            self.send(node, flow, ACK, state["seq"] + 1, state["ack"], state["echo"], request)
            if await self.happens(state, "ended", time.monotonic() + wait):
                break
            wait *= 2
        if state["result"] == "ok":
            self.send(node, flow, FIN | ACK, state["seq"] + 1 + len(request), state["ack"],
                      state["echo"])
        return state["result"] or "late"

    @staticmethod
    async def happens(state, name, deadline):
        try:
            await asyncio.wait_for(state[name].wait(), max(0.001, deadline - time.monotonic()))
            return True
        except asyncio.TimeoutError:
            return False

    def send(self, node, flow, flags, seq, ack, echo, data=b""):
        packet = Packet(flow[0], flow[1], flow[2], flow[3], flags, seq, ack, echo, data)
        self.transport.sendto(packet.encode(), (node.ip, self.world.packet_port))

    def on_datagram(self, raw, sender):
        packet = Packet.decode(raw)
        state = self.flows.get(packet.dport) if packet else None
        if state is None:
            return
        is_own_reset = packet.flags & RST and packet.total == 0
        if not packet.genuine and not is_own_reset:
            return
        if packet.flags & RST:
            state["result"] = "reset"
            state["opened"].set()
            state["ended"].set()
            return
        if packet.flags & SYN:
            if not state["opened"].is_set():
                state["echo"] = packet.echo
                state["ack"] = (packet.seq + 1) & 0xFFFFFFFF
                state["opened"].set()
        elif packet.data and packet.seq == state["ack"]:
            state["echo"] = packet.echo
            state["ack"] = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            state["result"] = "ok"
            state["ended"].set()


# ------------------------------------------------------------------------------------------ nodes


def fill_template(text, fields):
    """Fills the gaps of a settings template as the platform does (the forms used here)."""

    def value_of(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = (value or {}).get(part)
        return value

    def gap(match):
        name, _, form = match.group(1).partition("|")
        value = value_of(name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(lambda m: m.group(2) if value_of(m.group(1)) else "", text)
    return re.sub(r"\{\{([\w.|]+)\}\}", gap, text)


class Node:
    """One configured machine: a lugfork-packetd process with the deploy file's run command."""

    def __init__(self, world, name, zone, ip, store_address):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.store_address = store_address
        self.process = None
        self.in_touch_since = None  # time of the last disruption of this machine

    def write_settings(self):
        world = self.world
        fields = {
            "node": self.name, "zone": self.zone, "region": "r", "ip": self.ip,
            "port_range": [world.peer_port, world.peer_port + 15],
            "seeds": [f"{ip}:{world.control_port}" for ip in world.seed_ips],
            "listen": {"packet_addr": f"{self.ip}:{world.packet_port}",
                       "ready": f"{self.ip}:{world.ready_port}",
                       "control": f"{self.ip}:{world.control_port}"},
            "limits": {"link_mbps": world.link_mbps},
            "bounds": world.bounds,
            "platform": {"address": self.store_address, "reads_per_s": 2000},
        }
        with open(os.path.join(ROOT, "platform", "settings.toml.template"), encoding="utf-8") as f:
            text = fill_template(f.read(), fields)
        self.settings = os.path.join(world.folder, self.name + ".toml")
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)

    def start(self):
        self.write_settings()
        command = []
        for word in self.world.run_command:
            command.append(self.settings if word == "/etc/lugfork/local.toml" else word)
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()
        self.in_touch_since = self.world.record.now()
        self.world.record.write(f"node {self.name} started at {self.ip}", echo=True)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.world.record.write(f"node {self.name} killed", echo=True)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.world.ready_port), 0.5)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=15):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            if await self.is_ready():
                self.world.record.write(f"node {self.name} is ready", echo=True)
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {limit_s} s")

    def log_lines(self, event):
        with open(os.path.join(self.world.folder, self.name + ".log"), encoding="utf-8") as f:
            return [line for line in f if f'"{event}"' in line]


def find_run_command():
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as f:
        command = re.search(r'^run = "(.+)"$', f.read(), re.M).group(1).split(" ")
    if not os.path.exists(os.path.join(ROOT, command[0])):
        built = os.path.join("build", os.path.basename(command[0]))
        if not os.path.exists(os.path.join(ROOT, built)):
            raise CannotRun("neither target/ nor build/ holds lugfork-packetd")
        command[0] = built
    command[0] = os.path.join(ROOT, command[0])
    return command


def free_port(ips, kind):
    for _ in range(200):
        port = random.randrange(15000, 30000)
        sockets = []
        try:
            for ip in ips:
                sockets.append(socket.socket(socket.AF_INET, kind))
                sockets[-1].bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise CannotRun("no free port")


class World:
    """All parts of one run, and the checks."""

    def __init__(self, case_folder, seed_count=3, link_mbps=1000.0, bounds=None):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="lugfork-review-")
        self.run_command = find_run_command()
        # Addresses of this run's own, so that runs side by side don't meet.
        self.net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.link_mbps = link_mbps
        self.bounds = dict(BOUNDS, **(bounds or {}))
        node_ips = [self.node_ip(index) for index in range(12)]
        self.packet_port = free_port(
            node_ips + [self.client_ip(index) for index in range(16)], socket.SOCK_DGRAM)
        self.peer_port = free_port(node_ips, socket.SOCK_DGRAM)
        self.ready_port = free_port(node_ips, socket.SOCK_STREAM)
        self.control_port = free_port(node_ips, socket.SOCK_STREAM)
        self.seed_ips = node_ips[:seed_count]
        self.store = None
        self.nodes, self.servers, self.clients = [], [], []
        self.sent_at, self.outcomes, self.run = {}, [], []
        self.traffic = set()

    def bound_s(self, name):
        return self.bounds[name] / 1000

    def node_ip(self, index):
        return f"{self.net}.{index + 1}"

    def client_ip(self, index):
        return f"{self.net}.{index + 101}"

    def server_ip(self, index):
        return f"{self.net}.{index + 151}"

    async def add_server(self, number, service, zone, ip=None):
        server = Server(self, number, service, zone, ip or self.server_ip(len(self.servers)))
        await server.start()
        self.servers.append(server)
        return server

    async def add_clients(self, count):
        for index in range(count):
            client = Client(self, self.client_ip(index))
            await client.start()
            self.clients.append(client)

    async def send_requests(self, nodes, route, per_s, for_s):
        """Sends requests at an even rate, through the nodes in turn; waits for their ends."""
        tasks = []
        started = time.monotonic()
        for index in range(int(per_s * for_s)):
            await asyncio.sleep(max(0, started + index / per_s - time.monotonic()))
            client = self.clients[index % len(self.clients)]
            tasks.append(asyncio.create_task(client.request(nodes[index % len(nodes)], route)))
        return await asyncio.gather(*tasks)

    def in_touch(self, node_ip, at):
        for node in self.nodes:
            if node.ip == node_ip:
                return at >= node.in_touch_since + self.bound_s("contact_ms") + MARGIN_S
        return False

    def drain_breaks(self):
        """@return the openings that break DRAIN, each as (server, seconds too old, time, flow).

        Both ends of its way through the balancer must lie in a time in which it was in touch.
        """
        breaks = []
        for server in self.servers:
            if server.out_since is None:
                continue
            for arrived_at, sent_at, node_ip, flow in server.openings:
                late = arrived_at - server.out_since
                if (late > self.bound_s("drain_ms") + MARGIN_S and self.in_touch(node_ip, sent_at)
                        and self.in_touch(node_ip, arrived_at)):
                    breaks.append((server, late, arrived_at, flow))
        return breaks

    def close(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def configuration(version, routes, services, padding_routes=0, timeout_ms=2000):
    """@return a configuration as the operator writes it. routes: {(host, port): service}."""
    entries = []
    for (host, port), service in routes.items():
        entries.append({"name": f"r-{host}-{port}", "host": host, "path_prefix": f"/{port}/",
                        "type": "non_idempotent", "timeout_ms": timeout_ms, "target_ms": 120,
                        "priority": 1, "service": service, "max_attempts": 2})
    for index in range(padding_routes):
        entries.append({"name": f"r-idle-{index}", "host": f"198.19.{index // 250}.{index % 250}",
                        "path_prefix": "/8443/", "type": "idempotent", "timeout_ms": 1500,
                        "target_ms": 100, "priority": 2, "service": services[0],
                        "max_attempts": 2})
    return json.dumps({
        "version": version, "routes": entries,
        "services": [{"name": name, "health_path": "/health", "max_conns": 2000,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})


def main(case_file, play, **options):
    """Runs a case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    folder = os.path.dirname(os.path.abspath(case_file))
    # Connections that the end of the run cuts are no news.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    world = None
    try:
        world = World(folder, **options)
        world.record.write("with the disruption" if TROUBLE else "without the disruption",
                           echo=True)
        code = 1 if asyncio.run(asyncio.wait_for(play(world), 110)) else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as problem:
        print(f"could not run: {problem!r}")
        if world is not None:
            world.record.write(f"could not run: {problem!r}")
    finally:
        if world is not None:
            world.record.write(("rule held", "rule BROKEN", "could not run")[code], echo=True)
            world.close()
    sys.exit(code)
