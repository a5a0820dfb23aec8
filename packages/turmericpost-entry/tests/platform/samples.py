"""Sample registration of a backend server, and sample configuration."""

from __future__ import annotations

ENTRY = {
    'Service': 'press',
    'Address': '10.0.0.9:8080',
    'Zone': 'nasr',
    'Version': 'v1',
    'Slots': 3,
    'State': 'ready',
    'WarmupLeftMs': 0,
    'Seq': 1,
    'born': 12,
}

CONFIG = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'r1',
            'Host': 'A.example',
            'PathPrefix': '/a/',
            'RouteType': 'non_idempotent',
            'TimeoutMs': 1200,
            'SloLatencyMs': 600,
            'Priority': 2,
            'TrafficSplit': [{'Service': 'press', 'Weight': 90}],
            'MaxAttempts': 2,
            'AllowedRegions': ['cairo'],
        },
    ],
    'Services': [
        {
            'Name': 'press',
            'HealthCheckPath': '/health',
            'MaxConnections': 260,
            'WarmupS': 3.0,
            'WarmupPerS': 2.9,
        },
    ],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 67108864,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    },
}
