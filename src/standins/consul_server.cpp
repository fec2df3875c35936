#include "standins/consul_server.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pearspar::standins {
namespace {

using nlohmann::json;

std::string unescaped(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

std::map<std::string, std::string> query_of(std::string_view target) {
  std::map<std::string, std::string> query;
  std::size_t mark = target.find('?');
  if (mark == target.npos) return query;
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    std::size_t equals = pair.find('=');
    query[unescaped(pair.substr(0, equals))] =
        equals == pair.npos ? std::string() : unescaped(pair.substr(equals + 1));
  }
  return query;
}

std::string end_of(std::string prefix) {
  if (prefix.empty()) return std::string(1, '\0');
  prefix.back() = static_cast<char>(prefix.back() + 1);
  return prefix;
}

}  // namespace

ConsulServer::ConsulServer(net::Loop& loop, Store& store, const net::Address& address)
    : loop_(loop),
      store_(store),
      server_(
          loop, address, [this](const Server::Ask& ask) { take(ask); },
          [this](net::SlotId id) { waiting_.erase(id); }) {}

std::int64_t ConsulServer::seen() const {
  return std::min(lag_.value_or(store_.revision()), store_.revision());
}

void ConsulServer::lag_at(std::optional<std::int64_t> revision, int last_contact_ms) {
  lag_ = revision;
  last_contact_ms_ = last_contact_ms;
  store_changed();
}

// A prefix's index is that of its last change, deletions too; of a store that changed nothing under it, that
// of the store.
std::int64_t ConsulServer::index_of(const std::string& prefix) const {
  if (index_) return *index_;
  std::int64_t last = std::max<std::int64_t>(store_.compacted(), 1);
  for (const Kv& kv : store_.range(prefix, end_of(prefix), seen())) last = std::max(last, kv.modified);
  for (const StoreEvent& event : store_.events())
    if (event.revision <= seen() && event.kv.key.compare(0, prefix.size(), prefix) == 0)
      last = std::max(last, event.revision);
  return last;
}

void ConsulServer::take(const Server::Ask& ask) {
  auto query = query_of(ask.target);
  std::string path = ask.target.substr(0, ask.target.find('?'));
  auto behind = [&](const std::string& front) { return unescaped(path.substr(front.size())); };
  try {
    if (path.rfind("/v1/kv/", 0) == 0) return take_kv(ask, behind("/v1/kv/"), query);
    if (path == "/v1/session/create") {
      double ttl = std::stod(json::parse(ask.body).value("TTL", "10s"));
      std::int64_t lease = store_.grant(net::Duration(ttl), loop_.now());
      return server_.reply(ask.id, 200, json{{"ID", std::to_string(lease)}}.dump());
    }
    if (path.rfind("/v1/session/renew/", 0) == 0) {
      std::string id = behind("/v1/session/renew/");
      if (store_.keep_alive(std::stoll(id), loop_.now()) == 0)
        return server_.reply(ask.id, 404, "Session id '" + id + "' not found");
      return server_.reply(ask.id, 200, json::array({{{"ID", id}}}).dump());
    }
    if (path.rfind("/v1/session/destroy/", 0) == 0) {
      store_.revoke(std::stoll(behind("/v1/session/destroy/")));
      return server_.reply(ask.id, 200, "true");
    }
    server_.reply(ask.id, 404, "");
  } catch (const std::exception& error) {
    server_.reply(ask.id, 400, error.what());
  }
}

void ConsulServer::take_kv(const Server::Ask& ask, const std::string& key,
                           const std::map<std::string, std::string>& query) {
  if (ask.method == "DELETE") {
    store_.remove(key);
    return server_.reply(ask.id, 200, "true");
  }
  const Kv* held = store_.find(key);
  if (ask.method == "PUT") {
    bool done = true;
    std::int64_t lease = held ? held->lease : 0;
    if (auto cas = query.find("cas"); cas != query.end())
      done = std::stoll(cas->second) == (held ? held->modified : 0);
    if (auto acquire = query.find("acquire"); acquire != query.end()) {
      std::int64_t session = std::stoll(acquire->second);
      done = store_.keep_alive(session, loop_.now()) != 0 && (lease == 0 || lease == session);
      lease = session;
    }
    if (done) store_.put(key, ask.body, lease);
    return server_.reply(ask.id, 200, done ? "true" : "false");
  }
  bool recurse = query.count("recurse") != 0;
  std::int64_t index = query.count("index") != 0 ? std::stoll(query.at("index")) : 0;
  if (index <= 0 || (index != index_of(key) && index < index_of(key)) || index > index_of(key))
    return list(ask.id, key, recurse);
  net::Duration wait = std::chrono::minutes(5);
  if (auto given = query.find("wait"); given != query.end())
    wait = net::Duration(std::stod(given->second) / 1000);
  Waiting& waiting = waiting_[ask.id];
  waiting.prefix = key;
  waiting.index = index;
  net::SlotId id = ask.id;
  waiting.timer = loop_.at(loop_.now() + wait, [this, id, key] {
    if (mute_) return;
    waiting_.erase(id);
    list(id, key, true);
  });
}

void ConsulServer::list(net::SlotId id, const std::string& prefix, bool recurse) {
  std::string headers = "X-Consul-Index: " + std::to_string(index_of(prefix)) +
                        "\r\nX-Consul-KnownLeader: " + (leaderless_ ? "false" : "true") +
                        "\r\nX-Consul-LastContact: " + std::to_string(last_contact_ms_) + "\r\n";
  if (std::exchange(garble_, false)) return server_.reply(id, 200, "[{\"Key\":7}]", headers);
  json all = json::array();
  for (const Kv& kv : store_.range(prefix, recurse ? end_of(prefix) : std::string(), seen())) {
    json entry{{"LockIndex", 0},
               {"Key", kv.key},
               {"Flags", 0},
               {"Value", absl::Base64Escape(kv.value)},
               {"CreateIndex", kv.created},
               {"ModifyIndex", kv.modified}};
    if (kv.value.empty()) entry["Value"] = nullptr;
    if (kv.lease != 0) entry["Session"] = std::to_string(kv.lease);
    all.push_back(std::move(entry));
  }
  server_.reply(id, all.empty() ? 404 : 200, all.empty() ? "" : all.dump(), headers);
}

void ConsulServer::store_changed() {
  if (mute_) return;
  std::vector<std::pair<net::SlotId, std::string>> due;
  for (const auto& [id, waiting] : waiting_)
    if (index_of(waiting.prefix) != waiting.index) due.emplace_back(id, waiting.prefix);
  for (const auto& [id, prefix] : due) {
    waiting_.erase(id);
    list(id, prefix, true);
  }
}

}  // namespace pearspar::standins
