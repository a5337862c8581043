#pragma once

#include "core/configuration.h"
#include "core/parsed.h"

namespace snipefall {

/** Parses and validates configuration documents. */
class configuration_parser
{
public:
    /**
     * Parses @p document as the configuration of @p version and reports all invalid fields at once.
     *
     * Missing members get the defaults of configuration and service_settings; only the version of a service is required.
     */
    static parsed<configuration> parse(const json &document, config_version version);
};

} // namespace snipefall
