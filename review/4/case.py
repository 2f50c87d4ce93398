"""A machine that restarts reads its first view in two pages; the second one is a little older."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from standins import BOUNDS, TROUBLE, Client, now, run_case  # noqa: E402

DRAIN_S = BOUNDS["drain_ms"] / 1000
SERVES_ON_S = 22          # "at times many seconds" after drain_ms
BEHIND_S = 2.0            # a read with stale=1 "may be seconds old"
LEAVING = "i-f00000a1"    # its key is among the last ones: the second page holds it


async def play(world):
    zones = ["charguia", "lac", "ariana"]
    world.seed_ips = [world.machine_ip(number) for number in (1, 2, 3)]
    world.put_config(7, [("listen", 8443, "listen-api"), ("ingest", 8444, "ingest")],
                     ["listen-api", "ingest"])
    # As many servers as a large deployment has: 480 and 120. A page holds 500 items.
    for index in range(480):
        world.add_server(f"i-1{index:07x}", "listen-api", zones[index % 3],
                         f"127.128.{index // 200}.{1 + index % 200}")
    for index in range(116):
        world.add_server(f"i-2{index:07x}", "listen-api", zones[index % 3],
                         f"127.129.0.{1 + index}")
    for index, server_id in enumerate([LEAVING, "i-f00000a2", "i-f00000a3", "i-f00000a4"]):
        world.add_server(server_id, "ingest", "lac", f"127.130.0.{1 + index}")
    machine = world.add_machine("edge-lac-1", "lac", world.machine_ip(2))
    world.add_machine("edge-charguia-1", "charguia", world.machine_ip(1))
    world.add_machine("edge-ariana-1", "ariana", world.machine_ip(3))
    # Two replicas answer reads with stale=1 in turn: one up to date, one two seconds behind.
    lags = {"behind": 0.0}
    world.store.stale_lag = lambda call: lags["behind"] if call % 2 == 1 else 0.0
    for other in world.machines.values():
        other.start()
    await world.wait_ready(world.machines, 15)
    await asyncio.sleep(3)
    lags["behind"] = BEHIND_S

    # Planned work: the machine is stopped and started; meanwhile a server begins to leave.
    server = world.servers[LEAVING]
    if TROUBLE:
        await machine.stop(signal.SIGTERM)
    drained_at = server.drain()
    if TROUBLE:
        await asyncio.sleep(0.5)
        machine.start()
    ends_at = drained_at + DRAIN_S + SERVES_ON_S

    client = Client(world, "127.64.2.1", "lac")
    number = 0
    calls = []
    while now() < ends_at - 1:
        number += 1
        calls.append(asyncio.create_task(client.call(8444, f"a{number}")))
        await asyncio.sleep(0.1)
    outcomes = await asyncio.gather(*calls)
    server.end()
    served = sum(outcome.startswith("done") for outcome, _ in outcomes)
    world.record.write(f"{served} of {number} requests were served")

    violations = []
    for at, name, flow in server.openings:
        if name in world.machines and world.machines[name].in_touch(at) and at > drained_at + DRAIN_S:
            violations.append(f"DRAIN: {server.id} took a flow through {name} "
                              f"{at - drained_at:.2f} s after it was acknowledged as draining")
    return violations


run_case(FOLDER, play)
