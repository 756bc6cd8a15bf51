"""Gateway processes of a test: their settings files, logs and signals."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys
from collections.abc import Sequence
from typing import NamedTuple

SOURCE = pathlib.Path(__file__).parents[2] / "src"

# Memory of the smallest machines of the operators.
MEMORY_MB = 200
MAX_FDS = 4_100

SETTINGS = """
nodeName = "{name}"
ip = "{host}"
zone = "{zone}"
internalPorts = [7740, 7755]
seeds = [{seeds}]
bootstrap = {bootstrap}
[zones]
{zones}
[listenAddrs]
front = "{host}:8363"
ready = "{host}:8364"
control = "{host}:8360"
[limits]
memoryMb = {memory_mb}
maxFds = {max_fds}
[platform]
address = "127.0.0.1:{store}"
"""


class Placement(NamedTuple):
    """The name of an instance, its loopback address and its availability zone."""

    name: str
    host: str
    zone: str


class GatewayProcesses:
    """The gateway processes by number.

    ``source`` is the folder that the processes import the project from, so that an
    older build can be run as well.
    """

    def __init__(
        self,
        *,
        placements: Sequence[Placement],
        seeds: Sequence[Placement],
        folder: pathlib.Path,
        source: pathlib.Path = SOURCE,
        memory_mb: int = MEMORY_MB,
        max_fds: int = MAX_FDS,
    ) -> None:
        self.placements = tuple(placements)
        self._seeds = ", ".join(f'"{seed.host}:8360"' for seed in seeds)
        self._folder = folder
        self._source = source
        self._memory_mb = memory_mb
        self._max_fds = max_fds
        self._processes: dict[int, subprocess.Popen[bytes]] = {}

    def start(self, number: int, *, store_port: int, is_first: bool = False) -> None:
        placement = self.placements[number]
        zones = sorted({other.zone for other in self.placements})
        settings = self._folder / f"{placement.name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=placement.name,
                host=placement.host,
                zone=placement.zone,
                zones="\n".join(f'{zone} = "region"' for zone in zones),
                seeds=self._seeds,
                bootstrap=str(is_first).lower(),
                store=store_port,
                memory_mb=self._memory_mb,
                max_fds=self._max_fds,
            )
        )
        process_environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(self._source),
            "SKYLARKCART_SETTINGS": str(settings),
        }
        with open(self._folder / f"{placement.name}.log", "ab") as log:
            self._processes[number] = subprocess.Popen(
                [sys.executable, "-m", "skylarkcart.gateway.main"],
                env=process_environment,
                stdout=log,
                stderr=log,
            )

    def is_running(self, number: int) -> bool:
        return self._processes[number].poll() is None

    def get_pid(self, number: int) -> int:
        return self._processes[number].pid

    def send_signal(self, number: int, signal_number: signal.Signals) -> None:
        if self.is_running(number):
            self._processes[number].send_signal(signal_number)

    def kill(self, number: int) -> None:
        self._processes[number].kill()

    def kill_all(self) -> None:
        """Kills the processes that still run and waits for all of them."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def read_log(self, number: int) -> list[dict]:
        """Returns the log lines of an instance that are JSON objects, in order."""
        log = self._folder / f"{self.placements[number].name}.log"
        lines = log.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def list_memory_violations(self) -> list[str]:
        """Returns the running gateways that ever exceeded their memory."""
        violations = []
        for number, process in self._processes.items():
            if process.poll() is not None:
                continue
            status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
            peak_kb = next(
                int(line.split()[1])
                for line in status.splitlines()
                if line.startswith("VmHWM")
            )
            if peak_kb > self._memory_mb * 1_000:
                name = self.placements[number].name
                violations.append(f"MEMORY {name} used {peak_kb} KB")
        return violations
