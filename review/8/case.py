"""Instances that fail orders with 503 after they have begun to work on them."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import harness  # noqa: E402

HOST = "sheets.example"
ORDERS = 60
FAILING_SHARE = 0.45


async def case(deployment: harness.Deployment, record: harness.Record) -> bool:
    await deployment.start()
    instances = [harness.Instance(deployment, "meldung", 40 + n) for n in range(2)]
    is_failing = harness.is_troubled()

    async def work(request_id, method, path, fields, body):
        await asyncio.sleep(0.05)
        if is_failing and random.random() < FAILING_SHARE:
            # No `Geraniumbend-Not-Executed`: the order was begun.
            record.write(f"an instance fails {request_id} with 503 after it began")
            return harness.build_answer(503, request_id, b"", signed=True)
        return instances[0].build_success(request_id, b"entered")

    for instance in instances:
        instance.work = work
        await instance.start()
    route = {
        "name": "r-entries",
        "host": HOST,
        "path-prefix": "/entries/",
        "kind": "unsafe",
        "service": "meldung",
    }
    await deployment.put_configuration(
        harness.build_configuration(1, [route], ["meldung"])
    )
    await deployment.wait_ready("front-1")
    await asyncio.sleep(1.0)
    statuses: dict[str, int] = {}

    async def send_order(number: int) -> None:
        """Send an order as a client does: again after a promise that it did not run."""
        for attempt in range(2):
            request_id = harness.new_request_id()
            fields = {
                "Host": HOST,
                "Geraniumbend-Request-Id": request_id,
                "Geraniumbend-Deadline-Ms": "1500",
            }
            path = f"/entries/{number}"
            status, _, _ = await harness.call(
                deployment.address("front-1"),
                deployment.front_port,
                "POST",
                path,
                b"fee",
                fields,
            )
            statuses[request_id] = status
            record.write(f"order {number}, attempt {attempt}, {request_id}: {status}")
            if status not in (429, 503, 408, 421):
                return

    for number in range(ORDERS):
        await send_order(number)
    runs = [run for instance in instances for run in instance.runs]
    for instance in instances:
        await instance.stop()
    ran = {run[1] for run in runs}
    refused = [
        rid for rid, status in statuses.items() if status in (429, 503, 408, 421)
    ]
    broken = [request_id for request_id in refused if request_id in ran]
    doubled = sum(
        sum(run[3] == f"/entries/{number}" for run in runs) > 1
        for number in range(ORDERS)
    )
    text = f"{len(broken)} of {len(statuses)} ran and were answered 503"
    record.write(f"{text}; {doubled} orders were begun twice")
    print(text, f"{doubled} orders were begun twice", sep="; ")
    return bool(broken)


harness.run_case(__file__, case)
