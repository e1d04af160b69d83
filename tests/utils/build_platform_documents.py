"""Build the platform's documents with default values for tests."""

from typing import Any


def boot_document(**changes: Any) -> dict[str, Any]:
    """Return a settings file with the fields that the system reads."""
    document: dict[str, Any] = {
        "node": "front-a-1",
        "ip": "10.1.0.5",
        "zone": "kyushu-a",
        "listen": {"front": "10.1.0.5:8686", "ready": "10.1.0.5:8689"},
        "internalPorts": [7180, 7195],
        "limits": {"cpuShare": 0.5, "cores": 2},
        "heartbeatIntervalMs": 1500,
        "bounds": {
            "graceS": 6,
            "maxHoldMs": 10_000,
            "stopTimeoutMs": 200,
            "gangTimeoutMs": 3_000,
            "drainMs": 2_000,
            "status_s": 120,
            "remoteFactor": 2,
            "noticeMs": 4_500,
            "harmMs": 4_000,
        },
        "advice": "10.200.1.9:8683",
        "platform": {"address": "10.200.1.7:8683"},
        "cloud": {"address": "10.200.0.50:8683"},
    }
    return {**document, **changes}


def route(**changes: Any) -> dict[str, Any]:
    """Return a route for a configuration."""
    document: dict[str, Any] = {
        "name": "r-1",
        "host": "host.example",
        "pathPrefix": "/stock/",
        "targetLatencyMs": 250,
        "priority": 0,
        "service": "counter",
        "maxAttempts": 4,
        "stretch": 1.5,
        "advice": {"decisionMs": 28.8, "perWorkerMs": 0.25, "validityMs": 2000},
        "public": False,
    }
    return {**document, **changes}


def config_document(**changes: Any) -> dict[str, Any]:
    """Return a configuration with one route, one service and one workspace."""
    document: dict[str, Any] = {
        "version": 7,
        "routes": [route()],
        "services": [{"name": "counter", "rejectsOverload": False, "spare": False}],
        "limits": {"maxBodyBytes": 262_144},
        "tenants": [
            {
                "name": "retail",
                "apiKeys": ["k1", "k2"],
                "weight": 6,
                "maximum": {"cpu": 348_893, "requestedMemoryMb": 576_232, "gpu": 48},
            }
        ],
    }
    return {**document, **changes}


def worker_document(**changes: Any) -> dict[str, Any]:
    """Return a worker's registration."""
    document: dict[str, Any] = {
        "service": "counter",
        "address": "10.128.0.9:8080",
        "zone": "kyushu-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "capacity": {"cpu": 16_000, "requestedMemoryMb": 32_768, "gpu": 0},
        "labels": ["a", "r1-3"],
        "clockMs": 482_113,
        "sequence": 4,
        "born": 1_700_000_000_000,
    }
    return {**document, **changes}


def job_document(**changes: Any) -> dict[str, Any]:
    """Return a job with two steps, as a client submits it."""
    document: dict[str, Any] = {
        "spec": "text",
        "steps": [
            {"count": 4, "cpu": 500, "requestedMemoryMb": 256, "estimatedMs": 900},
            {"count": 2, "cpu": 2_000, "after": [0], "savesProgress": True},
        ],
    }
    return {**document, **changes}
