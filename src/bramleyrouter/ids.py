"""Identifiers that several packages share.

Each is a ``NewType`` over a string or an integer, so that the type checker
rejects, for example, a shard name in place of a service name.
"""

from typing import NewType

DaemonId = NewType("DaemonId", str)
# Chosen anew at each start of a daemon; larger means started later.
DaemonIncarnation = NewType("DaemonIncarnation", int)
ServerId = NewType("ServerId", str)
# Chosen by the backend server at each of its starts; larger means later.
ServerIncarnation = NewType("ServerIncarnation", int)
# Counts the homes that one incarnation of a backend server registered with.
Registration = NewType("Registration", int)
DataCentre = NewType("DataCentre", str)
ServiceName = NewType("ServiceName", str)
# The version of a backend server's software, as it announces it.
ServerVersion = NewType("ServerVersion", str)
ShardName = NewType("ShardName", str)
IndexVersion = NewType("IndexVersion", str)
TenantName = NewType("TenantName", str)
ClassName = NewType("ClassName", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", int)
OperatorRequestId = NewType("OperatorRequestId", str)
# Counts accepted configuration changes; grows by one with each.
Revision = NewType("Revision", int)
# Number of a manifest, given by the operators' pipeline.
Generation = NewType("Generation", int)
# Number of a route table, given by the operators; the highest one takes effect.
TableVersion = NewType("TableVersion", int)
MemberId = NewType("MemberId", str)
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
