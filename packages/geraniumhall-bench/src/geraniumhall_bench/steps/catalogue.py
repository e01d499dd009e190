"""Steps that edit the catalogue through a daemon."""

from json import loads
from typing import Any

import attrs

from geraniumhall_bench.scenario import STEPS, RunContext
from geraniumhall_bench.steps.common import build_condition, call_admin, check_status


@STEPS.register("put")
@attrs.frozen(kw_only=True)
class PutRecord:
    """Write a catalogue record through a daemon's admin API.

    `version` is the version that the record must have, zero for a new record.
    It may be a variable that an earlier step set, as in ``${server/engine-1}``.
    `status` is the expected status of the response.
    """

    via: str
    kind: str
    name: str
    record: dict[str, Any]
    version: str = "0"
    status: int = 200

    async def run(self, context: RunContext) -> None:
        """Write the record and set the variable ``KIND/NAME`` to its version."""
        target = f"/admin/v1/catalogue/{self.kind}/{self.name}"
        record = context.expand(self.record)
        condition = build_condition(int(context.expand(self.version)))
        response = await call_admin(
            context, self.via, "PUT", target, record, (condition,)
        )
        check_status(response, self.status, f"put {self.kind}/{self.name}")
        if response.head.status == 200:
            context.variables[f"{self.kind}/{self.name}"] = str(
                loads(response.body)["version"]
            )


@STEPS.register("issue_key")
@attrs.frozen(kw_only=True)
class IssueKey:
    """Issue a key for a workspace and set the variable `name` to it.

    The key's id and version are set as ``NAME.id`` and ``NAME.version``.
    """

    via: str
    workspace: str
    name: str

    async def run(self, context: RunContext) -> None:
        """Issue the key."""
        data = {"workspace": self.workspace}
        response = await call_admin(context, self.via, "POST", "/admin/v1/keys", data)
        check_status(response, 201, f"issue key for {self.workspace}")
        issued = loads(response.body)
        context.variables[self.name] = issued["key"]
        context.variables[f"{self.name}.id"] = issued["id"]
        context.variables[f"{self.name}.version"] = str(issued["version"])


@STEPS.register("withdraw_key")
@attrs.frozen(kw_only=True)
class WithdrawKey:
    """Withdraw a key that an earlier step issued."""

    via: str
    name: str

    async def run(self, context: RunContext) -> None:
        """Delete the key's record and set ``key/NAME`` to the new version."""
        key_id = context.find(f"{self.name}.id")
        condition = build_condition(int(context.find(f"{self.name}.version")))
        target = f"/admin/v1/catalogue/key/{key_id}"
        response = await call_admin(
            context, self.via, "DELETE", target, None, (condition,)
        )
        check_status(response, 200, f"withdraw key {self.name}")
        context.variables[f"key/{self.name}"] = str(loads(response.body)["version"])
