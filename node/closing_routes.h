#pragma once

namespace snipefall {

class closing_controller;
class operator_api;

/** Adds POST and GET of /v1/services/S/close and /v1/services/S/report for each service S. */
void addClosingRoutes(operator_api &operators, closing_controller &closings);

} // namespace snipefall
