"""The former name of `silverglade.testbed`; kept for one version, so that operators' commands go on working."""
