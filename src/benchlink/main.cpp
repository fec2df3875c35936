// pearspar_benchlink: frames on standard input, replies on standard output, until input ends.
#include <algorithm>
#include <cstdio>
#include <exception>

#include "benchlink/host.h"

namespace {

using pearspar::benchlink::Bytes;
using pearspar::benchlink::FrameError;

// Grows in steps, so that a false length in a broken frame does not claim its memory at once.
constexpr std::size_t read_step = std::size_t{1} << 20;

// Reads until `frame` is `size` long; false where the input ended before the frame's first byte.
bool read_to(Bytes& frame, std::size_t size) {
  while (frame.size() < size) {
    std::size_t had = frame.size();
    frame.resize(std::min(size, had + read_step));
    std::size_t got = std::fread(frame.data() + had, 1, frame.size() - had, stdin);
    frame.resize(had + got);
    if (got == 0 && std::ferror(stdin)) throw FrameError("standard input cannot be read");
    if (got == 0 && frame.empty()) return false;
    if (got == 0) throw FrameError("input ends within a frame");
  }
  return true;
}

void serve() {
  using namespace pearspar::benchlink;
  Host host;
  Bytes frame;
  while (frame.clear(), read_to(frame, batch_header_size)) {
    read_to(frame, declared_frame_size(frame));
    Bytes reply = host.handle_frame(frame);
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
      throw FrameError("standard output cannot be written");
  }
}

}  // namespace

int main() {
  try {
    serve();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "pearspar_benchlink: %s\n", error.what());
    return 1;
  }
}
