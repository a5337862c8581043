#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

/** Body of the sub-request for @p shard, with the same fields and length as one of a node. */
std::string subRequestBody(std::size_t shard);

/** Baseline that uses the HTTP library directly: one selector with one client for each server. Compiled as C++17, which the library's headers need. */
class http_library_fan_out
{
public:
    explicit http_library_fan_out(const std::vector<std::string> &addresses);
    ~http_library_fan_out();

    /** Sends one request to each server and waits for all answers. Throws std::runtime_error after 10 s without any activity. */
    void query();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};
