"""Admission policies: what is refused at the door."""

from lagoonbeam.admission import bounded, unbounded
from lagoonbeam.admission.base import ADMISSIONS, AdmissionPolicy, QueueView

__all__ = [
    "ADMISSIONS",
    "AdmissionPolicy",
    "QueueView",
    "bounded",
    "unbounded",
]
