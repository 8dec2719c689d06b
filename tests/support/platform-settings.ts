/** A platform settings file of one controller, with one team. */
export const platformSettingsToml = `node = "runner-0"
domain = "z"
front = "127.0.0.1:8080"
back = "127.0.0.1:8081"
unknown = "is ignored"
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[cluster]
nodes = 1
[[cluster.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[cluster.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 37.0
[cluster.state]
rps = 100.0
write_rps = 20.0
value_kb = 16.0
txn_ops = 12
[cluster.cloud]
rps = 2.0
list_lag_s = 4.0
`;
