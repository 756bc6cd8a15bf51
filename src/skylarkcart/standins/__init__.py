"""Stand-ins for the platform and upstreams, for tests, measurements and the demo."""

from __future__ import annotations

from skylarkcart.standins._deployment import (
    DeploymentSpec,
    ServiceSpec,
    StandinDeployment,
    build_association,
    build_empresa,
)
from skylarkcart.standins._fault_points import FaultPoint
from skylarkcart.standins._faulty_upstream import FaultyUpstream
from skylarkcart.standins._filing_bench import FilingBench, FilingOutcome
from skylarkcart.standins._filing_faults import FilingFault
from skylarkcart.standins._platform import StandinPlatform
from skylarkcart.standins._replacement import ReplacementBench, ReplacementReport
from skylarkcart.standins._traffic import Arrival, OpenLoopTraffic, Outcome
from skylarkcart.standins._upstream import (
    LoadReport,
    StandinUpstream,
    UpstreamProfile,
)
from skylarkcart.standins._upstream_server import UpstreamServer

__all__ = [
    "Arrival",
    "DeploymentSpec",
    "FaultPoint",
    "FaultyUpstream",
    "FilingBench",
    "FilingFault",
    "FilingOutcome",
    "LoadReport",
    "OpenLoopTraffic",
    "Outcome",
    "ReplacementBench",
    "ReplacementReport",
    "ServiceSpec",
    "StandinDeployment",
    "StandinPlatform",
    "StandinUpstream",
    "UpstreamServer",
    "UpstreamProfile",
    "build_association",
    "build_empresa",
]
