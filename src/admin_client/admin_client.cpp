#include "admin_client/admin_client.h"

#include <fmt/format.h>

#include <algorithm>

#include "http/stream.h"
#include "net/socket.h"

namespace pearspar::admin_client {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_reply_bytes = std::size_t{16} << 20;
constexpr net::Duration attempt_timeout = 1500ms;
constexpr int max_redirects = 2;
constexpr std::size_t read_size = 65536;

}  // namespace

AdminReply AdminClient::call_member(const std::string& member, const AdminRequest& request,
                                    net::Duration timeout) {
  AdminReply reply;
  reply.from = member;
  auto fail = [&](std::string reason) {
    reply.status = 0;
    reply.fault = member + ": " + std::move(reason);
    return reply;
  };
  auto address = net::Address::parse(member);
  if (!address) return fail("is no address such as 10.0.0.1:8729");
  int error = 0;
  net::Fd fd = net::start_connect(*address, error);
  if (!fd) return fail(std::generic_category().message(error));
  std::string output =
      fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n{}", request.method, request.path,
                  request.host.empty() ? member : request.host, request.headers);
  if (!request.body.empty() || request.method == "PUT")
    output += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", request.body.size());
  output += "\r\n" + request.body;
  std::size_t written = 0;
  net::Buffer input;
  http::ReplyStream stream;
  std::string error_text;
  bool connected = false, done = false;
  net::Time deadline = loop_.read_clock() + timeout;
  auto handle_progress = [&](http::Progress progress) {
    if (progress == http::Progress::failed) error_text = stream.failure_reason();
    done = done || progress != http::Progress::more;
  };
  net::Watch watch;
  watch = loop_.watch(fd.get(), POLLIN | POLLOUT, [&](short) {
    if (!connected) {
      if (int connect_error = net::connect_error(fd)) {
        error_text = std::generic_category().message(connect_error);
        done = true;
        return;
      }
      connected = true;
    }
    if (written < output.size()) {
      std::size_t bytes_written = 0;
      net::write_from(fd, std::string_view(output).substr(written), bytes_written);
      written += bytes_written;
      if (written == output.size()) watch.set_events(POLLIN);
    }
    auto result = net::read_into(fd, input, read_size);
    if (result == net::IoResult::some) {
      handle_progress(stream.advance(input, [&](std::string_view chunk) {
        reply.body += chunk;
        return reply.body.size() <= max_reply_bytes;
      }));
    } else if (result != net::IoResult::none && !done) {
      handle_progress(stream.ended());
    }
  });
  while (!done && loop_.read_clock() < deadline) loop_.run_once(deadline - loop_.read_clock());
  if (!done) return fail("no answer in time");
  if (!error_text.empty()) return fail(error_text);
  reply.status = stream.status();
  if (reply.status == 307) {
    std::string_view location = stream.header("Location");
    std::size_t scheme = location.find("://");
    reply.fault = std::string(scheme == location.npos ? location : location.substr(scheme + 3));
    reply.fault = reply.fault.substr(0, reply.fault.find('/'));
  }
  return reply;
}

AdminReply AdminClient::call(const AdminRequest& request, net::Duration timeout) {
  net::Time deadline = loop_.read_clock() + timeout;
  AdminReply last, last_server_error;
  last.fault = "no member is named";
  net::Duration retry_delay = 50ms;
  for (std::size_t attempts = 0; !members_.empty(); ++attempts) {
    net::Duration remaining = deadline - loop_.read_clock();
    if (remaining <= net::Duration{}) break;
    std::string member = members_[next_member_];
    // Leaves time to call each member once, even if the others do not respond.
    std::size_t members_left = attempts < members_.size() ? members_.size() - attempts : 1;
    last = call_member(member, request, std::min(remaining / members_left, net::Duration(attempt_timeout)));
    for (int hop = 0; hop < max_redirects && last.status == 307; ++hop)
      last = call_member(last.fault, request,
                         std::min(net::Duration(attempt_timeout), deadline - loop_.read_clock()));
    if (last.status != 0 && last.status < 500 && last.status != 307) return last;
    if (last.status >= 500) last_server_error = last;
    next_member_ = (next_member_ + 1) % members_.size();
    if ((attempts + 1) % members_.size() != 0) continue;
    net::Time resume_at = loop_.read_clock() + std::min(retry_delay, deadline - loop_.read_clock());
    while (loop_.read_clock() < resume_at) loop_.run_once(resume_at - loop_.read_clock());
    retry_delay = std::min(retry_delay * 2, net::Duration(1s));
  }
  return last.status == 0 && last_server_error.status != 0 ? last_server_error : last;
}

}  // namespace pearspar::admin_client
