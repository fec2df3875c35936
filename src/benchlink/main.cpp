// pearspar_benchlink: runs the decision module for a simulator. Reads frames from standard input and writes
// replies to standard output until input ends.
#include <algorithm>
#include <cstdio>
#include <exception>

#include "benchlink/host.h"

namespace {

using pearspar::benchlink::Bytes;
using pearspar::benchlink::FrameError;

// Buffers grow in steps, so that a wrong length in a frame does not allocate that much memory at once.
constexpr std::size_t read_chunk_bytes = std::size_t{1} << 20;

// Reads until `frame` has `size` bytes. Returns false if the input ended before the frame's first byte.
bool read_until(Bytes& frame, std::size_t size) {
  while (frame.size() < size) {
    std::size_t old_size = frame.size();
    frame.resize(std::min(size, old_size + read_chunk_bytes));
    std::size_t count = std::fread(frame.data() + old_size, 1, frame.size() - old_size, stdin);
    frame.resize(old_size + count);
    if (count == 0 && std::ferror(stdin)) throw FrameError("standard input cannot be read");
    if (count == 0 && frame.empty()) return false;
    if (count == 0) throw FrameError("input ends within a frame");
  }
  return true;
}

void serve() {
  using namespace pearspar::benchlink;
  Host host;
  Bytes frame;
  while (frame.clear(), read_until(frame, batch_header_size)) {
    read_until(frame, declared_frame_size(frame));
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
