#include <primroselead/fleet.h>

void fleet_bounds_init(struct fleet_bounds *b)
{
	*b = (struct fleet_bounds){
		.retry_permille = 100,
		.retry_extra = 0,
		.retry_window_ms = 10000,
		.move_max_permille = 150,
		.quota_window_ms = 5000,
		.quota_overage_permille = 0,
		.quota_slack = 0,
		.lookup_ttl_max_s = 5,
		.shutdown_grace_ms = 10000,
	};
}
