#!/usr/bin/env python3
"""Measures the CPU time of lugfork-packetd with a small store.

    scripts/processor-budget.py [--repeat N] [--servers N] [--daemon PROGRAM]

A node with 0.027 of a core needs 37 ms for each millisecond of this table. Times are the CPU time of
the whole process (all threads) as accounted by the scheduler. For repeated starts the median and the
minimum are printed, since other load on the machine only adds time. The cost of a fetch or a log line
is the difference between many and none, divided by their number.
"""
import argparse
import base64
import http.server
import json
import os
import signal
import socket
import statistics
import subprocess
import tempfile
import threading
import time
import urllib.parse
import urllib.request

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 20
BAD_PACKETS = 3000
# Burst of log lines that a component may write regardless of its rate.
LOG_BURST_LINES = 200
PACKETS = 3000
FIRST_CLIENT_PORT = 20000
BACKEND_PORT = 9000
# Layout of packets: length of the prefix of packets to backends, and offset of the flags.
FORWARDED_PREFIX_BYTES = 8
FLAGS_OFFSET = 26
DATA_FLAG = 2
FETCHES = 200
IDLE_S = 5
# Type bits of the scheduler's clock in the id of another process's CPU clock.
SCHEDULER_CLOCK = 2
# Loads the log's appender before the measurement, as in a node that has run for a while.
STEADY_FLAGS = ("--log-appender-delay", "0")


class Store(http.server.ThreadingHTTPServer):
    """Serves a constant view; watch requests are held until their timeout."""

    daemon_threads = True

    def __init__(self, servers):
        super().__init__((LOOPBACK, 0), StoreHandler)
        items = [("op/config", {"version": 1, "routes": [
            {"host": "198.18.0.1", "path_prefix": "/443/", "service": "s"}]})]
        for index in range(servers):
            items.append((f"servers/i-{index + 1:010x}", {
                "service": "s", "address": f"127.1.{index // 250}.{index % 250 + 1}:{BACKEND_PORT}", "zone": "z",
                "version": "v", "capacity": 2, "state": "ready", "warmup_left_ms": 0, "seq": 1}))
        self.items = [{"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                       "revision": index + 1, "created": index + 1, "lease": 0}
                      for index, (key, value) in enumerate(sorted(items, key=lambda item: item[0]))]


class StoreHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        url = urllib.parse.urlparse(self.path)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query).items()}
        at = len(self.server.items)
        if url.path == "/kv-range":
            body = self.page(query.get("path_prefix", ""), query.get("after", ""), at)
        else:
            time.sleep(int(query.get("wait_ms", "0")) / 1000)
            body = {"events": [], "at": at}
        data = json.dumps(body).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def handle(self):
        try:
            super().handle()
        except ConnectionError:
            # The daemon was killed while its request was held.
            pass

    def page(self, prefix, after, at):
        items = [item for item in self.server.items
                 if item["key"].startswith(prefix) and item["key"] > after]
        return {"items": items[:500], "more": len(items) > 500, "at": at}

    def log_message(self, *_):
        pass


def free_port(kind):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


class Daemon:
    """One lugfork-packetd with its log on a pipe."""

    def __init__(self, program, store, *flags):
        self.packet = (LOOPBACK, free_port(socket.SOCK_DGRAM))
        self.control = f"{LOOPBACK}:{free_port(socket.SOCK_STREAM)}"
        settings = {"name": "n", "zone": "z", "token-key": "00112233445566778899aabbccddeeff",
                    "store": "%s:%d" % store.server_address, "packet-address": "%s:%d" % self.packet,
                    "ready-address": f"{LOOPBACK}:{free_port(socket.SOCK_STREAM)}",
                    "control-address": self.control,
                    "peer-address": f"{LOOPBACK}:{free_port(socket.SOCK_DGRAM)}"}
        with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
            file.writelines(f'{key} = "{value}"\n' for key, value in settings.items())
        self.settings_file = file.name
        self.process = subprocess.Popen([program, "--settings", file.name, *flags], stdout=subprocess.PIPE)
        self.cost_at = {}
        self.seen = {name: threading.Event() for name in ("started", "view_complete")}
        threading.Thread(target=self.read_log, daemon=True).start()

    def read_log(self):
        for line in self.process.stdout:
            fields = json.loads(line)
            event = fields["event"]
            if event in self.seen and event not in self.cost_at:
                reported = fields.get("processor_us")
                self.cost_at[event] = self.cpu_ms() if reported is None else reported / 1000
                self.seen[event].set()

    def wait_for(self, event):
        if not self.seen[event].wait(TIMEOUT_S):
            raise RuntimeError(f"no log line {event} within {TIMEOUT_S} s")
        return self.cost_at[event]

    def threads(self):
        return f"/proc/{self.process.pid}/task"

    def cpu_ms(self):
        # CPU clock of the process: the times in /proc lag by up to one tick of the scheduler.
        clock = (~self.process.pid << 3) | SCHEDULER_CLOCK
        return time.clock_gettime_ns(clock) / 1e6

    def wake_ups(self):
        total = 0
        for thread in os.listdir(self.threads()):
            with open(f"{self.threads()}/{thread}/status", encoding="ascii") as file:
                total += sum(int(line.split()[1]) for line in file if "ctxt_switches" in line)
        return total

    def stop(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        os.unlink(self.settings_file)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()


def settle(daemon):
    daemon.wait_for("view_complete")
    time.sleep(1)


def version_cost(program):
    process = subprocess.Popen([program, "--version"], stdout=subprocess.DEVNULL)
    _, _, usage = os.wait4(process.pid, 0)
    process.returncode = 0
    return (usage.ru_utime + usage.ru_stime) * 1000


def start_costs(program, store, repeat):
    bound, complete = [], []
    for _ in range(repeat):
        with Daemon(program, store) as daemon:
            complete.append(daemon.wait_for("view_complete"))
            bound.append(daemon.wait_for("started"))
    return bound, complete


def bad_packets_cost(program, store, lines_per_second):
    """@return CPU time of malformed packets, each logged as far as the rate limit allows [ms]."""
    with Daemon(program, store, *STEADY_FLAGS, "--log-lines-per-second", str(lines_per_second)) as daemon:
        settle(daemon)
        before = daemon.cpu_ms()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(BAD_PACKETS):
                sender.sendto(b"bad", daemon.packet)
                time.sleep(0.0002)
        time.sleep(0.3)
        return daemon.cpu_ms() - before


def line_cost(program, store):
    written = bad_packets_cost(program, store, 100000)
    suppressed = bad_packets_cost(program, store, 1)
    return (written - suppressed) / (BAD_PACKETS - LOG_BURST_LINES)


def opening(client_port):
    """@return the first packet of a flow from a port of 127.0.0.1 to 198.18.0.1:443."""
    return (bytes(6) + bytes([127, 0, 0, 1]) + (443).to_bytes(2, "big") + bytes([198, 18, 0, 1])
            + client_port.to_bytes(2, "big") + bytes.fromhex("1122334400000000" "0400a1b2c3d5"))


def packet_costs(program, store):
    """@return CPU time of one opening and of one packet of an open flow, without log lines [ms]."""
    with Daemon(program, store, *STEADY_FLAGS, "--log-lines-per-second", "1") as daemon, \
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server, \
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        server.bind(("0.0.0.0", BACKEND_PORT))
        server.settimeout(TIMEOUT_S)
        settle(daemon)
        sender.sendto(opening(FIRST_CLIENT_PORT), daemon.packet)
        data = bytearray(server.recv(2048)[FORWARDED_PREFIX_BYTES:])
        data[FLAGS_OFFSET] = DATA_FLAG
        costs = []
        for packets in ([opening(FIRST_CLIENT_PORT + 1 + index) for index in range(PACKETS)],
                        [bytes(data)] * PACKETS):
            before = daemon.cpu_ms()
            for packet in packets:
                sender.sendto(packet, daemon.packet)
                time.sleep(0.0002)
            time.sleep(0.3)
            costs.append((daemon.cpu_ms() - before) / PACKETS)
        return costs


def fetch_cost(program, store):
    with Daemon(program, store, *STEADY_FLAGS) as daemon:
        settle(daemon)
        before = daemon.cpu_ms()
        for _ in range(FETCHES):
            urllib.request.urlopen(f"http://{daemon.control}/metrics").read()
        return (daemon.cpu_ms() - before) / FETCHES


def idle_cost(program, store):
    with Daemon(program, store, *STEADY_FLAGS) as daemon:
        settle(daemon)
        cost, wakes = daemon.cpu_ms(), daemon.wake_ups()
        time.sleep(IDLE_S)
        return (daemon.cpu_ms() - cost) / IDLE_S, (daemon.wake_ups() - wakes) / IDLE_S


def show(name, values):
    print(f"{name:42} {statistics.median(values):8.3f} {min(values):8.3f}")


def main():
    here = os.path.dirname(os.path.abspath(__file__))
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--repeat", type=int, default=20, help="number of measured starts")
    parser.add_argument("--servers", type=int, default=150, help="number of backends in the view")
    parser.add_argument("--daemon", default=os.path.join(here, "../build/lugfork-packetd"))
    arguments = parser.parse_args()
    program = os.path.abspath(arguments.daemon)
    store = Store(arguments.servers)
    threading.Thread(target=store.serve_forever, daemon=True).start()

    print(f"{'processor time [ms]':42} {'median':>8} {'lowest':>8}")
    show("--version, to its end", [version_cost(program) for _ in range(arguments.repeat)])
    bound, complete = start_costs(program, store, arguments.repeat)
    show("exec to bound sockets (line started)", bound)
    show(f"exec to a view of {arguments.servers} servers", complete)
    show("one log line", [line_cost(program, store)])
    opened, forwarded = packet_costs(program, store)
    show("one opening, its line left out", [opened])
    show("one packet of an open flow", [forwarded])
    show("one fetch of metrics", [fetch_cost(program, store)])
    cost, wakes = idle_cost(program, store)
    show("one idle second", [cost])
    print(f"{'wake-ups in one idle second':42} {wakes:8.1f}")


if __name__ == "__main__":
    main()
