#include "http/http_request.h"

#include <cxxtools/query_params.h>

#include <strings.h>

namespace snipefall {

std::string http_request::header(const std::string &name) const
{
    for (const http_header &field : headers) {
        if (strcasecmp(field.name.c_str(), name.c_str()) == 0) {
            return field.value;
        }
    }
    return {};
}

std::string http_request::parameter(const std::string &name) const
{
    cxxtools::QueryParams parameters;
    parameters.parse_url(queryString);
    return parameters.param(name);
}

} // namespace snipefall
