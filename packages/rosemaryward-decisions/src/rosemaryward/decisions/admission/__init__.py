"""Admission control: which statements run, in which order, and which are refused.

The owner of an instance has one `AdmissionQueue` for it. Entry proxies use
`EntryShedder` to refuse statements that an owner would refuse, and
`TenantLimiter` to enforce the limits of tenants.
"""

from rosemaryward.decisions.admission.grant import SlotGrant
from rosemaryward.decisions.admission.queue import AdmissionQueue
from rosemaryward.decisions.admission.request_queue import TenantWeights
from rosemaryward.decisions.admission.settings import AdmissionSettings
from rosemaryward.decisions.admission.shedding import EntryShedder, ShedderSettings
from rosemaryward.decisions.admission.tenants import TenantLimiter

__all__ = [
    "AdmissionQueue",
    "AdmissionSettings",
    "EntryShedder",
    "ShedderSettings",
    "SlotGrant",
    "TenantLimiter",
    "TenantWeights",
]
