"""Tests of the stand-ins and of the support code for tests."""
