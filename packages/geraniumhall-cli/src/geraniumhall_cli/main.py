"""Entry point of geraniumhall, the command line for operators."""

import os
import signal
import sys

from fire import Fire

from geraniumhall_cli.client import ADDRESS_VARIABLE, DEFAULT_ADDRESS, UnreachableError
from geraniumhall_cli.commands import Commands
from geraniumhall_cli.output import EXIT_UNREACHABLE, EXIT_USAGE


def main() -> None:
    """Run the command line; SIGTERM interrupts it, so that child processes end."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    arguments, admin, as_json = _split_options(sys.argv[1:])
    try:
        Fire(Commands.from_options(admin, as_json), arguments, name="geraniumhall")
    except UnreachableError as error:
        print(f"daemon unreachable: {error}", file=sys.stderr)
        sys.exit(EXIT_UNREACHABLE)


def _split_options(arguments: list[str]) -> tuple[list[str], str, bool]:
    admin = os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS)
    rest = [item for item in arguments if item != "--json"]
    if "--admin" in rest:
        position = rest.index("--admin")
        if position + 1 == len(rest):
            print("--admin needs an address such as 127.0.0.1:8081", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        admin = rest[position + 1]
        del rest[position : position + 2]
    return rest, admin, "--json" in arguments
