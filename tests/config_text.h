// A valid broker configuration for tests; each part can be changed.
#pragma once

#include <string>

namespace pearspar::peers {

// The variable parts of the configuration, as JSON fragments.
struct ConfigText {
  std::string listen = "127.0.0.1:0";
  std::string discovery = "127.0.0.1:1";
  std::string known = R"({"revision":1,"complete":true,"members":[]})";
  std::string limits = R"({"cores":1.0,"memory_mb":192,"sockets":1024})";
  std::string max_open = "200";
  std::string parts_a_call = "1";
  std::string effect = "retryable";
  std::string fall_s = "3.0";
  std::string warm_up_time = "16.0";
  std::string tenants =
      R"([{"name":"acme","quota_per_s":100.0,"share":0.6},{"name":"other","quota_per_s":50.0,"share":0.4}])";

  std::string text() const {
    return R"({"name":"n3","listen":")" + listen + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":)" + limits + R"(,"known":)" + known + R"(,"settings":{
"balancers":2,"callers":{"marks_retry":true},
"classes":[{"aim_s":2.0,"dedup_window_s":5.0,"effect":")" +
           effect + R"(","give_up_s":4.0,"late_worth":0.3,"name":"search","worth":5.0},
{"aim_s":1.5,"dedup_window_s":5.0,"effect":"retryable","give_up_s":4.0,"late_worth":0.3,
"name":"fetch","worth":1.0}],
"counted_by":"request","failure_domains":["a","b"],"flavors":["m1","m2"],
"limits":{"cancel":true,"connect_timeout_s":0.25,"idle_close_s":15.0,"max_open":)" +
           max_open +
           R"(,"max_retry_after_s":2.0,"max_streams":32,"peers":false,
"probes":true,"retry_after":true,"second_copies":true,"try_limit":4},
"me":0,"over_share_worth":0.2,"prices":{"waste":0.08},"projects":)" +
           tenants + R"(,
"quantum_s":0.005,"registry_mode":"push",
"safety":{"answer_slack_s":0.02,"ask_within_s":10.0,"drain_grace_s":1.0,"fall_multiple":2.0,
"fall_s":)" +
           fall_s + R"(,"start_capacity":0.23,"warm_within_s":)" + warm_up_time +
           R"(},
"specifics":{"call_s":0.0,"class_floor":[0.4,1.0],"class_partial":[0.95,0.9],"fetch_parts":[0,0],
"in_a_row":1,"parts_a_call":)" +
           parts_a_call +
           R"(,"sets":2,"slabs":16,"warm_keys":false,"whole_at":[1.0,1.0]},
"stats":{"fields":["throughput"],"source":"pull"},"weights":"silent","zone":0}})";
  }
};

// One member of the node list as JSON.
inline std::string member_text(const std::string& id, const std::string& address, int cell,
                               const std::string& phase = "ready", const std::string& since = "0") {
  return R"({"id":")" + id + R"(","host_port":")" + address + R"(","locality":"a","flavor":"m2","cell":)" +
         std::to_string(cell) + R"(,"phase":")" + phase + R"(","size":1.0,"up_since_ms":)" + since + "}";
}

// A node list as JSON; `members` holds its comma-separated members.
inline std::string list_text(int revision, bool complete, const std::string& members) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" + (complete ? "true" : "false") +
         R"(,"members":[)" + members + "]}";
}

}  // namespace pearspar::peers
