#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

/** The body of sub-request @p shard, of the same form and length as a node's. */
std::string bareBody(std::size_t shard);

/** The HTTP library alone: one selector with one client for each server, compiled as C++17 because of its headers. */
class bare_fan_out
{
public:
    explicit bare_fan_out(const std::vector<std::string> &addresses);
    ~bare_fan_out();

    /** Sends one request to each server and waits for all answers. */
    void query();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};
