// An index server ("broker" on the operators' pages) that is sound: beats, answers, leaves.
#pragma once

#include "harness.h"

namespace review {

class Broker {
 public:
  struct Arrival {
    double at;
    std::string request;
    bool misdirected, refused, ran;
  };
  std::string id, service;
  Endpoint address;
  double work_s = 0.005;
  double slow_share = 0, slow_times = 4;  // so many requests take so many times as long
  int slots = 3, queue = 12;

  Broker(std::string id, std::string service, const std::string& ip, std::vector<Endpoint> members)
      : id(std::move(id)), service(std::move(service)), members_(std::move(members)) {
    address.ip = ip;
    listener_ = listen_at({ip, 0}, &address.port);
    threads_.emplace_back([this] { accept_all(); });
    record->line("broker %s of %s at %s", this->id.c_str(), this->service.c_str(), address.text().c_str());
  }
  ~Broker() {
    stop_ = true;
    beating_ = false;
    if (beats_.joinable()) beats_.join();
    for (auto& each : threads_) each.join();
    std::lock_guard lock(mutex_);
    for (auto& each : served_) each.join();
    ::close(listener_);
  }
  std::string beat_body(const std::string& state) {
    return "{\"depot\":\"" + service + "\",\"address\":\"" + address.text() +
           "\",\"zoneName\":\"upper-hill\",\"edition\":\"v1\",\"slotCount\":3,\"nodeState\":\"" + state +
           "\",\"coldLeftMs\":0,\"callSeq\":" + std::to_string(++sequence_) + "}";
  }
  Reply beat(const std::string& state, double limit_s = 3) {
    Reply reply = call_core(members_, next_, "PUT", "/pearspar/nodes/" + id, "Content-Type: application/json\r\n",
                            beat_body(state), limit_s);
    const std::size_t at = reply.message.body.find("\"beatAddress\":\"");
    if (reply.status == 200 && at != std::string::npos) {
      std::lock_guard lock(mutex_);
      beat_address_ = reply.message.body.substr(at + 15, reply.message.body.find('"', at + 15) - at - 15);
    }
    return reply;
  }
  // As the last beat's answer named it.
  std::string beat_address() {
    std::lock_guard lock(mutex_);
    return beat_address_;
  }
  void start_beats(double interval_s) {
    beating_ = true;
    beats_ = std::thread([this, interval_s] {
      while (beating_) {
        beat("at_post", 1.2);
        for (double end = now_s() + interval_s; beating_ && now_s() < end;) sleep_s(0.02);
      }
    });
  }
  void stop_beats() {
    beating_ = false;
    if (beats_.joinable()) beats_.join();
  }
  // Time of the acknowledgement, or 0.
  double leave(double limit_s = 3) {
    Reply reply = call_core(members_, next_, "DELETE", "/pearspar/nodes/" + id, "", "", limit_s);
    const double at = now_s();
    record->line("broker %s sent DELETE: %d", id.c_str(), reply.status);
    return reply.status >= 200 && reply.status < 300 ? at : 0;
  }
  std::vector<Arrival> arrivals() {
    std::lock_guard lock(mutex_);
    return arrivals_;
  }

 private:
  void accept_all() {
    while (!stop_) {
      pollfd wait{listener_, POLLIN, 0};
      if (::poll(&wait, 1, 50) != 1) continue;
      int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::lock_guard lock(mutex_);
      served_.emplace_back([this, fd] { serve(fd); });
    }
  }
  void serve(int fd) {
    std::string buffer;
    Message request;
    while (!stop_ && read_message(fd, buffer, request, 20, &stop_)) {
      const std::string name = request.header("Request-Id");
      const bool other = request.has("Addressee") && request.header("Addressee") != id;
      const double at = now_s();
      std::size_t index = 0;
      {
        std::lock_guard lock(mutex_);
        index = arrivals_.size();
        arrivals_.push_back({at, name, other, false, false});
      }
      const bool full = !other && ++held_ > slots + queue;
      if (other || full) {
        if (full) --held_;
        std::lock_guard lock(mutex_);
        arrivals_[index].refused = full;
      }
      if (full) {
        record->line("broker %s is full for %s (Not-Run)", id.c_str(), name.c_str());
        if (!write_all(fd, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + name + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")) break;
        continue;
      }
      if (other) {
        record->line("broker %s turns away %s (421)", id.c_str(), name.c_str());
        if (!write_all(fd, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")) break;
        continue;
      }
      {
        std::unique_lock lock(mutex_);
        while (working_ >= slots && !stop_) free_.wait_for(lock, std::chrono::milliseconds(50));
        ++working_;
        arrivals_[index].ran = true;
      }
      record->line("broker %s runs %s", id.c_str(), name.c_str());
      sleep_s(work_s * (std::rand() % 1000 < slow_share * 1000 ? slow_times : 0.6 + 0.001 * (std::rand() % 800)));
      {
        std::lock_guard lock(mutex_);
        --working_;
      }
      --held_;
      free_.notify_one();
      const std::string body = "answer of " + id + " to " + name;
      if (!write_all(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + name + "\r\nPostmark: " + id + "." + name +
                             "\r\nContent-Type: application/octet-stream\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body))
        break;
    }
    ::close(fd);
  }

  std::vector<Endpoint> members_;
  std::size_t next_ = 0;
  std::atomic<long> sequence_{0};
  int listener_ = -1;
  std::atomic<bool> stop_{false}, beating_{false};
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::string beat_address_;
  std::atomic<int> held_{0};
  int working_ = 0;
  std::condition_variable free_;
  std::vector<std::thread> threads_, served_;
  std::thread beats_;
};

}  // namespace review
