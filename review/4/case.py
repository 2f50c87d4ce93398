"""The store forgets its history while the configuration is large and the links are slow."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from standins import TROUBLE, CannotRun, Client, Link, now, run_case  # noqa: E402

# Bounds of the site that are not those of the small one.
SITE_BOUNDS = {"contact_ms": 5000, "ack_timeout_ms": 8000, "catchup_s": 6, "drain_ms": 5000,
               "config_apply_ms": 5000, "max_stretch_ms": 15000, "recover_s": 15}
DRAIN_S, CONTACT_S = SITE_BOUNDS["drain_ms"] / 1000, SITE_BOUNDS["contact_ms"] / 1000
GROWTH = 1560             # routes of one growth of the configuration
LINK_MBPS = 10.0
DEAF_S = 1.0              # "watches hear nothing for a second while changes are made"
SERVES_ON_S = 15          # after drain_ms, "at times many seconds"
LEAVING = "i-10000001"


async def play(world):
    world.bounds.update(SITE_BOUNDS)
    world.link_mbps = LINK_MBPS
    zones = ["charguia", "lac", "ariana"]
    world.seed_ips = [world.machine_ip(number) for number in (1, 2, 3)]
    base = [("listen", 8443, "listen-api"), ("ingest", 8444, "ingest")]
    idle = [(f"r-{index:05d}", 10000 + index, "listen-api") for index in range(240)]
    services = ["listen-api", "ingest"]
    version = 7
    world.put_config(version, base + idle, services)
    for index in range(14):
        world.add_server(f"i-1{index:07x}", "listen-api", zones[index % 3], f"127.128.0.{1 + index}")
    for index in range(4):
        world.add_server(f"i-2{index:07x}", "ingest", "lac", f"127.129.0.{1 + index}")
    for number, zone in enumerate(zones, 1):
        link, port = Link(world.store_port, LINK_MBPS), world.free_ports(1)[0]
        await link.start(port)
        world.add_machine(f"edge-{zone}-1", zone, world.machine_ip(number), port)
    for machine in world.machines.values():
        machine.start()
    await world.wait_ready(world.machines, 15)
    await asyncio.sleep(6)

    for _ in range(3):
        version += 3
        idle += [(f"r-{len(idle) + index:05d}", 10000 + len(idle) + index, "listen-api")
                 for index in range(GROWTH)]
        world.put_config(version, base + idle, services)
        await asyncio.sleep(5)

    # The disruption: the store forgets its history while a change is made.
    world.add_server("i-10000100", "listen-api", "lac", "127.128.1.1")
    if TROUBLE:
        compacting = asyncio.create_task(world.store.compact(DEAF_S))
        await asyncio.sleep(DEAF_S / 2)
        world.add_server("i-10000101", "listen-api", "lac", "127.128.1.2")
        await compacting
    calm_at = now()
    # Long after it, planned work: a server leaves.
    await asyncio.sleep(CONTACT_S + 3)
    leaving = world.servers[LEAVING]
    drained_at = leaving.drain()
    client = Client(world, f"127.64.{world.net}.1", "lac")
    calls = []
    while now() < drained_at + DRAIN_S + SERVES_ON_S - 2:
        calls.append(asyncio.create_task(client.call(8443, f"a{len(calls) + 1}")))
        await asyncio.sleep(0.1)
    outcomes = await asyncio.gather(*calls)
    leaving.end()
    served = sum(outcome.startswith("done") for outcome, _ in outcomes)
    world.record.write(f"{served} of {len(calls)} requests were served")
    if served < len(calls) / 4:
        raise CannotRun("too few requests were served to judge the rule")

    violations = []
    for at, name, flow in leaving.openings:
        in_touch = name in world.machines and world.machines[name].in_touch(at)
        if at > drained_at + DRAIN_S and at > calm_at + CONTACT_S and in_touch:
            violations.append(f"DRAIN: {leaving.id} took a flow through {name} "
                              f"{at - drained_at:.2f} s after it was acknowledged as draining")
    return violations


run_case(FOLDER, play)
