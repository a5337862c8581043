#include "node/status_read.h"

#include <chrono>

namespace snipefall {

namespace {

constexpr std::chrono::milliseconds STATUS_TIMEOUT{1000};

}

sub_request makeStatusRead(const std::string &address)
{
    sub_request read;
    read.method = "GET";
    read.address = address;
    read.target = "/status";
    read.deadline = std::chrono::steady_clock::now() + STATUS_TIMEOUT;
    read.progressTimeout = STATUS_TIMEOUT;
    return read;
}

} // namespace snipefall
