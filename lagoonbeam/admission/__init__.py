"""Admission policies: which jobs are refused on submission."""

from lagoonbeam.admission import bounded, unbounded
from lagoonbeam.admission.base import ADMISSIONS, AdmissionPolicy, QueueView

__all__ = [
    "ADMISSIONS",
    "AdmissionPolicy",
    "QueueView",
    "bounded",
    "unbounded",
]
