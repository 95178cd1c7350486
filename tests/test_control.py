"""Control machines and nodes on loopback: changes, acknowledgements, cuts, lost machines, promotion."""

from __future__ import annotations

from pathlib import Path

from machines import Bed, machines
from sockets import run, until

LIMITS = {"limits": {"max_open": 500}}


def all_hold(bed: Bed, version: int) -> bool:
    return all(service.store.replica.shown.version >= version for service in bed.services.values())


def test_a_change_is_in_force_everywhere_and_status_at_any_machine_says_so(tmp_path: Path):
    async def main() -> None:
        async with machines(tmp_path) as bed:
            for at in range(8):
                await bed.node(f"n{at}", "fotos" if at % 2 else "puntos")
            await until(
                lambda: all(link.alive for one in bed.services.values() for link in one.links.values())
            )
            patch = LIMITS | {"services": {"fotos": {"cordons": ["entrada-3"]}}}
            code, row = await bed.put("c1", patch, by="ana")
            assert (code, row["version"]) == (200, 1)
            await until(lambda: all(node.position.version == 1 for node in bed.followers.values()))
            assert bed.documents["n0"] == LIMITS
            assert bed.documents["n1"] == LIMITS | {"cordons": ["entrada-3"]}
            for name in bed.names:
                row = await bed.status(name)
                while row["in_force"] != 8:
                    row = await bed.status(name)
                assert (row["nodes"], row["behind"], row["refused"], row["version"]) == (8, 0, 0, 1)
                assert {node["machine"] for node in row["all"]} <= set(bed.names)
            assert await bed.put("c1", {"services": {"otro": {"limits": {"max_open": 9}}}}) == (
                200,
                {"version": 2, "epoch": 1, "writer": "c1", "changed": True},
            )
            await until(lambda: all(node.position.version == 2 for node in bed.followers.values()))
            assert all(len(told) == 1 for told in bed.applied.values()), "a change for others costs no apply"

    run(main())
