"""Command line of the test doubles, the load generator and the experiments."""

from dataclasses import dataclass

import cappa

from rosemaryward.bench.demo.command import DemoCommand
from rosemaryward.bench.experiment.command import ExperimentCommand
from rosemaryward.bench.history.command import CheckCommand
from rosemaryward.bench.instance.command import InstanceCommand
from rosemaryward.bench.launch.command import UpCommand
from rosemaryward.bench.overhead.command import OverheadCommand
from rosemaryward.bench.relay.command import RelayCommand
from rosemaryward.bench.soak.command import SoakCommand
from rosemaryward.bench.store.command import PlatformCommand
from rosemaryward.bench.summary.command import BenchCommand

__all__ = ["Bench", "main"]


@cappa.command(name="rosemaryward-bench")
@dataclass
class Bench:
    """Test doubles, load generator and experiments."""

    command: cappa.Subcommands[
        BenchCommand
        | CheckCommand
        | DemoCommand
        | ExperimentCommand
        | InstanceCommand
        | OverheadCommand
        | PlatformCommand
        | RelayCommand
        | SoakCommand
        | UpCommand
    ]


def main() -> None:
    """Run the command that the arguments select."""
    cappa.invoke(Bench)


if __name__ == "__main__":
    main()
