#include "altavia/reverse_proxy.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <vector>

namespace pearspar::altavia {
namespace {

using namespace std::chrono_literals;

constexpr clients::RequestTimeouts client_timeouts{3s, 10s};
// The number of header lines is limited only by the configured size of the header.
constexpr std::size_t max_header_lines(std::size_t bytes) { return bytes / 4; }
// Until the first configuration arrives.
constexpr http::MessageLimits initial_limits{16 * 1024, 256 * 1024, max_header_lines(16 * 1024)};

std::uint64_t key(net::SlotId id) { return std::uint64_t{id.index} << 32 | id.generation; }

bool one_of(std::string_view name, std::initializer_list<std::string_view> names) {
  return std::any_of(names.begin(), names.end(),
                     [&](std::string_view listed) { return http::equals_ignoring_case(listed, name); });
}

// Header lines that concern one connection only, or that are set anew for the call.
bool is_hop_by_hop(std::string_view name) {
  return one_of(name, {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
                       "Upgrade", "Expect", "Content-Length", "Deadline-Ms", "Addressee"});
}

// Names listed in Connection headers; these headers are not forwarded (RFC 9110, 7.6.1).
std::vector<std::string_view> connection_header_names(const http::Message& message) {
  std::vector<std::string_view> names;
  for (const auto& [key, list] : message.headers) {
    if (!http::equals_ignoring_case(key, "Connection")) continue;
    constexpr std::string_view separators = ", \t";
    for (std::size_t at = list.find_first_not_of(separators); at != list.npos;) {
      std::size_t end = std::min(list.find_first_of(separators, at), list.size());
      names.push_back(list.substr(at, end - at));
      at = list.find_first_not_of(separators, end);
    }
  }
  return names;
}

// Whether a header is forwarded. Host and Request-Id always are, even if a Connection header lists them.
bool is_forwarded(std::string_view name, const std::vector<std::string_view>& connection_names) {
  if (one_of(name, {"Host", "Request-Id"})) return true;
  return !is_hop_by_hop(name) &&
         std::none_of(connection_names.begin(), connection_names.end(),
                      [&](std::string_view listed) { return http::equals_ignoring_case(listed, name); });
}

// Host and path of a request. A target in absolute form takes precedence over the Host header
// (RFC 9112, 3.2.2); only the path is forwarded.
struct Target {
  std::string_view host, path;
  bool absolute = false;
};

Target target_of(const http::Message& message) {
  constexpr std::string_view scheme = "http://";
  std::string_view target = message.target;
  std::size_t slash = target.find('/', scheme.size());
  if (http::equals_ignoring_case(target.substr(0, scheme.size()), scheme) && slash != target.npos)
    return {target.substr(scheme.size(), slash - scheme.size()), target.substr(slash), true};
  return {message.header("Host").value_or(std::string_view()), target};
}

// The request id; empty if there is none or more than one, since a server might read the other.
std::string_view unique_request_id(const http::Message& message) {
  std::string_view id;
  int count = 0;
  for (const auto& [name, value] : message.headers)
    if (http::equals_ignoring_case(name, "Request-Id")) id = value, ++count;
  return count == 1 ? id : std::string_view();
}

}  // namespace

ReverseProxy::ReverseProxy(net::Loop& loop, transport::Transport& transport, Options options)
    : loop_(loop),
      front_(loop, std::move(options.warn), options.max_clients, *this, client_timeouts, initial_limits),
      nodes_(loop,
             [this](dispatch::CallId call, const dispatch::CallResult& result) {
               gateway_.dispatcher().call_ended(loop_.now(), call, result);
             }),
      gateway_(transport, std::move(options.follower), nodes_, options.retry_budget) {}

void ReverseProxy::start(const net::Address& address) {
  front_.omit_body_for_head();
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

bool ReverseProxy::limits_are_current() const {
  return gateway_.dispatcher().routes_are_current(loop_.read_clock());
}

void ReverseProxy::request_arrived(net::SlotId connection, const http::Message& message) {
  dispatch::ClientRequest client_request;
  client_request.method = message.method;
  Target target = target_of(message);
  client_request.target = target.path;
  client_request.host = target.host;
  client_request.id = unique_request_id(message);
  client_request.body = message.body;
  client_request.received_at = front_.request_began(connection);
  client_request.read_by = loop_.read_clock();
  if (auto deadline = message.header("Deadline-Ms")) {
    double ms = 0;
    auto [stop, error] = std::from_chars(deadline->data(), deadline->data() + deadline->size(), ms);
    if (error == std::errc() && stop == deadline->data() + deadline->size()) client_request.deadline_ms = ms;
  }
  std::vector<std::string_view> connection_names = connection_header_names(message);
  client_request.head = fmt::format("{} {} HTTP/1.1\r\n", message.method, target.path);
  if (target.absolute) client_request.head += fmt::format("Host: {}\r\n", target.host);
  for (const auto& [name, value] : message.headers) {
    if (!is_forwarded(name, connection_names) ||
        (target.absolute && http::equals_ignoring_case(name, "Host")))
      continue;
    client_request.head.append(name).append(": ").append(value).append("\r\n");
  }
  if (message.body.empty() && (message.header("Content-Length") || message.header("Transfer-Encoding")))
    client_request.head += "Content-Length: 0\r\n";
  dispatch::ClientResponse response;
  if (client_request.id.empty()) {
    response.status = 400;
    return answer(connection, std::move(response));
  }
  edge_gateway::QuotaIdentity quota_identity;
  if (const catalog::QuotaRules* quota_rules = gateway_.quota_rules()) {
    quota_identity.holder = message.header(quota_rules->holder_header).value_or(std::string_view());
    quota_identity.key = quota_rules->key_header.empty()
                             ? client_request.id
                             : message.header(quota_rules->key_header).value_or(client_request.id);
  }
  dispatch::RequestId request = gateway_.submit(loop_.now(), client_request, quota_identity, response);
  if (!request) return answer(connection, std::move(response));
  clients_[key(request)] = connection;
  requests_[key(connection)] = request;
}

void ReverseProxy::answer(net::SlotId connection, dispatch::ClientResponse response) {
  clients::Answer answer;
  answer.status = response.status;
  answer.type = response.content_type;
  answer.retry_after_s = response.retry_after_s;
  answer.headers = std::move(response.headers);
  answer.body = std::move(response.body);
  answer.bare = response.no_body;
  front_.answer(connection, answer);
}

bool ReverseProxy::take_configuration() {
  if (gateway_.routed_revision() == applied_limits_revision_) return false;
  applied_limits_revision_ = gateway_.routed_revision();
  const catalog::Limits& limits = gateway_.follower().view().configuration()->limits;
  front_.set_limits({dispatch::from_ms(limits.header_wait_ms), client_timeouts.answer},
                    {limits.header_bytes, limits.body_bytes, max_header_lines(limits.header_bytes)});
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
  for (auto& [request, response] : gateway_.take_responses(now)) {
    auto found = clients_.find(key(request));
    if (found == clients_.end()) continue;
    net::SlotId connection = found->second;
    clients_.erase(found);
    requests_.erase(key(connection));
    answer(connection, std::move(response));
  }
}

}  // namespace pearspar::altavia
