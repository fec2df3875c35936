// altavia-standin: what the system lives among, on loopback: an index server that beats, works and leaves; a
// client. Written from the protocol's page; exit status 1 where something was not served, 2 for a bad command
// line.
#include <fmt/format.h>
#include <popt.h>
#include <signal.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "admin_client/admin_client.h"
#include "clients/http_server.h"
#include "net/signals.h"

namespace {

using namespace std::chrono_literals;
using namespace pearspar;

struct Options {
  std::vector<std::string> members;
  std::string service = "shard0";
  std::string address = "127.0.0.1:0";
  std::string zone = "a";
  std::string edition = "v1";
  double fail_share = 0;  // of the answers
  std::string host = "hall.example";
  std::string path = "/g/x";
  std::string holder;
  double work_ms = 5;
  double beat_ms = 400;
  double drain_ms = 1000;
  double late_ms = 3000;
  double deadline_ms = 1000;
  double for_s = 60;
  int slots = 3;
  int records = 20;
  int count = 3;
};

std::string random_id(std::mt19937_64& random) { return fmt::format("{:016x}", random()); }

// Serves records to whoever names it; turns away what it has no slot for.
class Node : public clients::RequestHandler {
 public:
  Node(net::Loop& loop, const Options& options)
      : loop_(loop),
        options_(options),
        random_(std::random_device{}()),
        id_("i-" + random_id(random_).substr(8)) {
    front_.listen(net::Address::of(options.address));
  }
  const std::string& id() const { return id_; }
  std::string address() const { return front_.address().text(); }
  std::uint64_t served = 0;
  // From here on whoever goes by our leave asks no more.
  void leave_known() { asked_until_ = loop_.read_clock() + net::Duration(options_.late_ms / 1000); }

  void request_arrived(net::SlotId connection, const http::Message& message) override {
    clients::Answer answer;
    if (loop_.now() > asked_until_ && message.header("Addressee").value_or(id_) == id_) {
      std::printf("%s asked late, by %.0f ms\n", id_.c_str(), 1e3 * (loop_.now() - asked_until_).count());
      std::fflush(stdout);
    }
    answer.type = "application/octet-stream";
    if (message.header("Addressee").value_or(id_) != id_) {
      answer.status = 421;
      answer.headers = "Instance-Id: " + id_ + "\r\n";
      return front_.answer(connection, answer);
    }
    if (busy_ >= options_.slots) {
      answer.status = 503;
      answer.headers = "Not-Run: 1\r\n";
      return front_.answer(connection, answer);
    }
    ++busy_;
    std::string request(message.header("Request-Id").value_or("none"));
    auto timer = std::make_shared<net::Timer>();
    *timer =
        loop_.at(loop_.now() + net::Duration(options_.work_ms / 1000), [this, connection, request, timer] {
          --busy_;
          ++served;
          clients::Answer done;
          if (std::uniform_real_distribution<>(0, 1)(random_) < options_.fail_share) done.status = 500;
          done.type = "application/octet-stream";
          done.headers =
              fmt::format("Request-Id: {}\r\nPostmark: {}.{}.{}\r\n", request, id_, request, served);
          for (int i = 0; i < options_.records; ++i) done.body += random_id(random_);
          front_.answer(connection, done);
          timer->reset();
        });
  }
  void client_left(net::SlotId) override {}

 private:
  net::Loop& loop_;
  const Options& options_;
  std::mt19937_64 random_;
  std::string id_;
  int busy_ = 0;
  net::Time asked_until_ = net::Time::max();
  clients::HttpServer front_{
      loop_, [](std::string_view) {}, 1000, *this, {net::Duration(3600), net::Duration(5)}};
};

// Beats from a thread of its own: a call may wait a second.
void beat(const Options& options, const Node& node, const std::string& address, std::atomic<bool>& leaving,
          std::atomic<bool>& known, std::atomic<bool>& gone) {
  net::Loop loop;
  admin_client::AdminClient caller(loop, options.members);
  int call = 0;
  auto say = [&](const std::string& state) {
    return caller.call(
        {"PUT", "/pearspar/nodes/" + node.id(), "",
         fmt::format(R"({{"depot":"{}","address":"{}","zoneName":"{}","edition":"{}","slotCount":{},)"
                     R"("nodeState":"{}","coldLeftMs":0,"callSeq":{}}})",
                     options.service, address, options.zone, options.edition, options.slots, state, ++call),
         ""},
        net::Duration(3));
  };
  while (!leaving) {
    say("at_post");
    for (int i = 0; i < 10 && !leaving; ++i)
      std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(options.beat_ms / 10));
  }
  admin_client::AdminReply reply = say("closing_out");
  std::printf("%s closing_out: %d\n", node.id().c_str(), reply.status);
  std::fflush(stdout);
  known = reply.status == 200;
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(options.drain_ms));
  caller.call({"DELETE", "/pearspar/nodes/" + node.id(), "", "", ""}, net::Duration(2));
  gone = true;
}

int run_node(const Options& options) {
  net::Signals signals{SIGINT, SIGTERM};
  net::Loop loop;
  Node node(loop, options);
  std::printf("%s serves %s on %s\n", node.id().c_str(), options.service.c_str(), node.address().c_str());
  std::fflush(stdout);
  std::atomic<bool> leaving = false, known = false, gone = false;
  net::Watch watch = signals.watch(loop, [&](int) { leaving = true; });
  net::Timer over = loop.at(loop.now() + net::Duration(options.for_s), [&] { leaving = true; });
  std::string address = node.address();
  std::thread beats([&] { beat(options, node, address, leaving, known, gone); });
  while (!gone) {
    loop.run_once(net::Duration(0.05));
    if (known.exchange(false)) node.leave_known();
  }
  beats.join();
  std::printf("%s served %llu\n", node.id().c_str(), static_cast<unsigned long long>(node.served));
  return 0;
}

int run_ask(const Options& options) {
  std::mt19937_64 random(std::random_device{}());
  net::Loop loop;
  int served = 0;
  for (int i = 0; i < options.count; ++i) {
    admin_client::AdminClient caller(loop, options.members);
    admin_client::AdminReply reply = caller.call(
        {"GET", options.path,
         fmt::format("Request-Id: {}\r\nDeadline-Ms: {:.0f}\r\n", random_id(random), options.deadline_ms) +
             (options.holder.empty() ? "" : "Holder: " + options.holder + "\r\n"),
         "", options.host},
        net::Duration(options.deadline_ms / 1000));
    if (reply.status == 200)
      ++served;
    else
      std::printf("%d %s\n", reply.status, reply.fault.c_str());
  }
  std::printf("%d of %d served\n", served, options.count);
  return served == options.count ? 0 : 1;
}

}  // namespace

int main(int argc, const char** argv) {
  Options to;
  char *members = nullptr, *service = nullptr, *address = nullptr, *zone = nullptr, *edition = nullptr,
       *host = nullptr, *path = nullptr, *holder = nullptr;
  const poptOption options[] = {
      {"at", 'a', POPT_ARG_STRING, &members, 0, "node: members' control addresses; ask: edges",
       "ADDRESS,..."},
      {"depot", 0, POPT_ARG_STRING, &service, 0, "node: the service", "NAME"},
      {"listen", 0, POPT_ARG_STRING, &address, 0, "node: where", "ADDRESS"},
      {"zone", 0, POPT_ARG_STRING, &zone, 0, "node: its zone", "NAME"},
      {"edition", 0, POPT_ARG_STRING, &edition, 0, "node: of its software", "NAME"},
      {"fail-share", 0, POPT_ARG_DOUBLE, &to.fail_share, 0, "node: so many of its answers are 500", "SHARE"},
      {"host", 0, POPT_ARG_STRING, &host, 0, "ask: the Host header", "NAME"},
      {"path", 0, POPT_ARG_STRING, &path, 0, "ask: the path", "PATH"},
      {"holder", 0, POPT_ARG_STRING, &holder, 0, "ask: the Holder header", "FIRM[/BRANCH]"},
      {"work-ms", 0, POPT_ARG_DOUBLE, &to.work_ms, 0, "node: for each request", "MS"},
      {"beat-ms", 0, POPT_ARG_DOUBLE, &to.beat_ms, 0, "node: between beats", "MS"},
      {"drain-ms", 0, POPT_ARG_DOUBLE, &to.drain_ms, 0, "node: serves on so long after its leave", "MS"},
      {"slots", 0, POPT_ARG_INT, &to.slots, 0, "node: requests at once", "N"},
      {"late-ms", 0, POPT_ARG_DOUBLE, &to.late_ms, 0,
       "node: says so where it is asked so long after its leave was acknowledged", "MS"},
      {"deadline-ms", 0, POPT_ARG_DOUBLE, &to.deadline_ms, 0, "ask: of each request", "MS"},
      {"for", 0, POPT_ARG_DOUBLE, &to.for_s, 0, "node: leave after so long", "SECONDS"},
      {"count", 'n', POPT_ARG_INT, &to.count, 0, "ask: so many requests", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("altavia-standin", argc, argv, options, 0);
  poptSetOtherOptionHelp(context, "[OPTIONS] node | ask");
  int result = 0;
  while ((result = poptGetNextOpt(context)) >= 0) {
  }
  const char* word = poptGetArg(context);
  std::string command = word ? word : "";
  std::istringstream addresses(members ? members : "");
  for (std::string each; std::getline(addresses, each, ',');) to.members.push_back(each);
  for (auto [text, into] : {std::pair{service, &to.service},
                            {address, &to.address},
                            {zone, &to.zone},
                            {edition, &to.edition},
                            {host, &to.host},
                            {path, &to.path},
                            {holder, &to.holder}})
    if (text) {
      *into = text;
      std::free(text);
    }
  std::free(members);
  poptFreeContext(context);
  if (result < -1 || to.members.empty() || (command != "node" && command != "ask")) {
    std::fprintf(stderr, "altavia-standin: the command line cannot be read (--help)\n");
    return 2;
  }
  return command == "node" ? run_node(to) : run_ask(to);
}
