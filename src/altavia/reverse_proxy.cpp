#include "altavia/reverse_proxy.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <vector>

namespace pearspar::altavia {
namespace {

using namespace std::chrono_literals;

constexpr clients::Patience patience{3s, 10s};
// As many lines as fit: operators bound a head by its bytes.
constexpr std::size_t lines_in(std::size_t bytes) { return bytes / 4; }
constexpr http::MessageLimits first_limits{16 * 1024, 256 * 1024,
                                           lines_in(16 * 1024)};  // until a configuration names others

std::uint64_t key(net::SlotId id) { return std::uint64_t{id.index} << 32 | id.generation; }

bool one_of(std::string_view name, std::initializer_list<std::string_view> names) {
  return std::any_of(names.begin(), names.end(),
                     [&](std::string_view each) { return http::same_word(each, name); });
}

// What concerns one connection only, or is said anew.
bool stays_here(std::string_view name) {
  return one_of(name, {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
                       "Upgrade", "Expect", "Content-Length", "Deadline-Ms", "Addressee"});
}

// Names that the Connection lines list: these lines end here too (RFC 9110, 7.6.1).
std::vector<std::string_view> of_connection(const http::Message& message) {
  std::vector<std::string_view> names;
  for (const auto& [key, list] : message.headers) {
    if (!http::same_word(key, "Connection")) continue;
    constexpr std::string_view between = ", \t";
    for (std::size_t at = list.find_first_not_of(between); at != list.npos;) {
      std::size_t end = std::min(list.find_first_of(between, at), list.size());
      names.push_back(list.substr(at, end - at));
      at = list.find_first_not_of(between, end);
    }
  }
  return names;
}

// What a node goes by is no matter of one connection, whatever a client lists.
bool goes_on(std::string_view name, const std::vector<std::string_view>& here) {
  if (one_of(name, {"Host", "Request-Id"})) return true;
  return !stays_here(name) && std::none_of(here.begin(), here.end(), [&](std::string_view each) {
    return http::same_word(each, name);
  });
}

// What is asked for, and of whom. Where the target names both, as one says it to a proxy, that counts and not
// the Host line (RFC 9112, 3.2.2); a node is asked for the path.
struct Target {
  std::string_view host, path;
  bool absolute = false;
};

Target target_of(const http::Message& message) {
  constexpr std::string_view scheme = "http://";
  std::string_view target = message.target;
  std::size_t slash = target.find('/', scheme.size());
  if (http::same_word(target.substr(0, scheme.size()), scheme) && slash != target.npos)
    return {target.substr(scheme.size(), slash - scheme.size()), target.substr(slash), true};
  return {message.header("Host").value_or(std::string_view()), target};
}

// A request goes by one id: of two, a node may read the other.
std::string_view only_id(const http::Message& message) {
  std::string_view id;
  int lines = 0;
  for (const auto& [name, value] : message.headers)
    if (http::same_word(name, "Request-Id")) id = value, ++lines;
  return lines == 1 ? id : std::string_view();
}

}  // namespace

ReverseProxy::ReverseProxy(net::Loop& loop, transport::Transport& wire, Options options)
    : loop_(loop),
      front_(loop, std::move(options.warn), options.most_clients, *this, patience, first_limits),
      nodes_(loop,
             [this](dispatch::CallId call, const dispatch::CallResult& end) {
               gateway_.dispatcher().call_ended(loop_.now(), call, end);
             }),
      gateway_(wire, std::move(options.follower), nodes_, options.allowance) {}

void ReverseProxy::start(const net::Address& address) {
  front_.leave_heads_bare();
  front_.listen(address);
  gateway_.start(loop_.now());
}

void ReverseProxy::client_left(net::SlotId connection) {
  auto found = requests_.find(key(connection));
  if (found == requests_.end()) return;
  gateway_.client_disconnected(found->second);
  clients_.erase(key(found->second));
  requests_.erase(found);
}

void ReverseProxy::request_arrived(net::SlotId connection, const http::Message& message) {
  dispatch::ClientRequest arrival;
  arrival.method = message.method;
  Target target = target_of(message);
  arrival.target = target.path;
  arrival.host = target.host;
  arrival.id = only_id(message);
  arrival.body = message.body;
  arrival.received_at = front_.request_began(connection);
  if (auto deadline = message.header("Deadline-Ms")) {
    double ms = 0;
    auto [stop, error] = std::from_chars(deadline->data(), deadline->data() + deadline->size(), ms);
    if (error == std::errc() && stop == deadline->data() + deadline->size()) arrival.deadline_ms = ms;
  }
  std::vector<std::string_view> here = of_connection(message);
  arrival.head = fmt::format("{} {} HTTP/1.1\r\n", message.method, target.path);
  if (target.absolute) arrival.head += fmt::format("Host: {}\r\n", target.host);
  for (const auto& [name, value] : message.headers) {
    if (!goes_on(name, here) || (target.absolute && http::same_word(name, "Host"))) continue;
    arrival.head.append(name).append(": ").append(value).append("\r\n");
  }
  if (message.body.empty() && (message.header("Content-Length") || message.header("Transfer-Encoding")))
    arrival.head += "Content-Length: 0\r\n";
  dispatch::ClientResponse final;
  if (arrival.id.empty()) {
    final.status = 400;
    return answer(connection, std::move(final));
  }
  edge_gateway::QuotaIdentity quota_identity;
  if (const catalog::QuotaRules* allowances = gateway_.quota_rules()) {
    quota_identity.holder = message.header(allowances->holder_header).value_or(std::string_view());
    quota_identity.key = allowances->key_header.empty()
                             ? arrival.id
                             : message.header(allowances->key_header).value_or(arrival.id);
  }
  dispatch::RequestId request = gateway_.submit(loop_.now(), arrival, quota_identity, final);
  if (!request) return answer(connection, std::move(final));
  clients_[key(request)] = connection;
  requests_[key(connection)] = request;
}

void ReverseProxy::answer(net::SlotId connection, dispatch::ClientResponse final) {
  clients::Answer answer;
  answer.status = final.status;
  answer.type = final.content_type;
  answer.retry_after_s = final.retry_after_s;
  answer.headers = std::move(final.headers);
  answer.body = std::move(final.body);
  answer.bare = final.no_body;
  front_.answer(connection, answer);
}

bool ReverseProxy::take_configuration() {
  if (gateway_.routed_revision() == routed_) return false;
  routed_ = gateway_.routed_revision();
  const catalog::Limits& limits = gateway_.follower().view().configuration()->limits;
  front_.set_bounds({dispatch::from_ms(limits.header_wait_ms), patience.answer},
                    {limits.header_bytes, limits.body_bytes, lines_in(limits.header_bytes)});
  return true;
}

void ReverseProxy::sweep() {
  nodes_.sweep();
  if (const auto& configuration = gateway_.follower().view().configuration())
    front_.close_idle_since(loop_.now() - dispatch::from_ms(configuration->limits.idle_ms));
}

void ReverseProxy::after_turn() {
  net::Time now = loop_.now();
  gateway_.advance(now);
  for (auto& [request, final] : gateway_.take_responses(now)) {
    auto found = clients_.find(key(request));
    if (found == clients_.end()) continue;
    net::SlotId connection = found->second;
    clients_.erase(found);
    requests_.erase(key(connection));
    answer(connection, std::move(final));
  }
}

}  // namespace pearspar::altavia
