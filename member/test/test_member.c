#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/hash.h>
#include <primroselead/member.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Membership tables that exchange messages through a simulated network, which
 * loses a given percentage of them. An answer arrives at once or not at all.
 */
#define VMS 20
#define PERIOD_MS 500
#define SUSPECT_MS 2000

static struct member_table table[VMS];
static int up[VMS];
static int loss_percent;
static uint64_t random_count;

static uint64_t next_random(void)
{
	return prl_hash_combine(++random_count, 77);
}

static struct member_vm make_vm(int i, int64_t incarnation)
{
	struct member_vm vm = {.incarnation = incarnation};

	snprintf(vm.name, sizeof(vm.name), "vm%d", i);
	snprintf(vm.domain, sizeof(vm.domain), "d%d", i % 3);
	snprintf(vm.rpc, sizeof(vm.rpc), "127.0.0.1:%d", 1000 + i);
	return vm;
}

static void start(int i, int64_t incarnation)
{
	struct member_options o = {.probe_period_ms = PERIOD_MS,
				   .suspicion_timeout_ms = SUSPECT_MS};
	struct member_vm vm = make_vm(i, incarnation);

	member_init(&table[i], &vm, &o, NULL);
	up[i] = 1;
}

static int is_lost(void)
{
	return (int)(next_random() % 100) < loss_percent;
}

static int vm_index(const char *rpc)
{
	return atoi(strchr(rpc, ':') + 1) - 1000;
}

static void send_updates(int from, int to, int64_t now)
{
	struct member_vm update[MEMBER_UPDATES_MAX];
	int n = member_select_updates(&table[from], table[to].peer[0].vm.rpc,
				      next_random(), update);

	member_apply_update(&table[to], &table[from].peer[0].vm, now);
	for (int i = 0; i < n; i++)
		member_apply_update(&table[to], &update[i], now);
}

/* Sends a probe and its answer. Returns 1 if the answer arrived. */
static int exchange_probe(int from, int to, int64_t now)
{
	if (!up[to] || is_lost())
		return 0;
	send_updates(from, to, now);
	if (is_lost())
		return 0;
	send_updates(to, from, now);
	return 1;
}

static void deliver(int from, const struct member_probe *m, int64_t now)
{
	int to = vm_index(m->to);

	switch (m->kind) {
	case MEMBER_PROBE_DIRECT:
		if (exchange_probe(from, to, now))
			member_handle_ack(&table[from], m->sequence);
		break;
	case MEMBER_PROBE_INDIRECT:
		if (up[to] && !is_lost() &&
		    exchange_probe(to, vm_index(m->target), now) && !is_lost())
			member_handle_ack(&table[from], m->sequence);
		break;
	}
}

static void run_protocol(int64_t from, int64_t to)
{
	struct member_probe out[MEMBER_PROBES_MAX];

	for (int64_t now = from; now < to; now += 25)
		for (int i = 0; i < VMS; i++) {
			int n;

			if (!up[i])
				continue;
			n = member_tick(&table[i], now + i, next_random(), out);
			for (int k = 0; k < n; k++)
				deliver(i, &out[k], now);
		}
}

static void start_all(void)
{
	random_count = 1;
	loss_percent = 0;
	for (int i = 0; i < VMS; i++)
		start(i, 1);
	/* Each VM knows one neighbour and learns of the others from updates. */
	for (int i = 0; i < VMS; i++)
		member_apply_update(&table[i], &table[(i + 1) % VMS].peer[0].vm,
				    0);
}

static void finish_all(void)
{
	for (int i = 0; i < VMS; i++)
		member_finish(&table[i]);
}

static int count_state(int who, enum member_state s)
{
	int n = 0;

	for (int i = 0; i < VMS; i++) {
		char name[16];
		const struct member_peer *p;

		snprintf(name, sizeof(name), "vm%d", who);
		p = member_find(&table[i], name);
		n += up[i] && p && p->vm.state == s;
	}
	return n;
}

static void test_all_find_all(void **state)
{
	(void)state;
	start_all();
	run_protocol(0, 10000);
	for (int i = 0; i < VMS; i++)
		assert_int_equal(table[i].npeer, VMS);
	finish_all();
}

static void test_death_is_known_in_time(void **state)
{
	(void)state;
	start_all();
	run_protocol(0, 10000);
	up[7] = 0;
	run_protocol(10000, 15000);
	assert_int_equal(count_state(7, MEMBER_DEAD), VMS - 1);
	finish_all();
}

/* 5 percent packet loss over ten minutes must not make a live VM be declared
 * dead. */
static void test_no_false_death(void **state)
{
	struct member_event e;
	int deaths = 0;
	int suspicions = 0;

	(void)state;
	start_all();
	loss_percent = 5;
	for (int minute = 0; minute < 10; minute++) {
		run_protocol(minute * 60000, (minute + 1) * 60000);
		for (int i = 0; i < VMS; i++)
			while (member_pop_event(&table[i], &e)) {
				deaths += e.state == MEMBER_DEAD;
				suspicions += e.state == MEMBER_SUSPECT;
			}
	}
	print_message("suspicions %d\n", suspicions);
	assert_int_equal(deaths, 0);
	finish_all();
}

/* A restarted VM must be seen live under its higher incarnation, although the
 * other VMs have declared the earlier one dead. */
static void test_restart_is_another(void **state)
{
	(void)state;
	start_all();
	run_protocol(0, 10000);
	up[3] = 0;
	run_protocol(10000, 16000);
	member_finish(&table[3]);
	start(3, 2);
	member_apply_update(&table[3], &table[4].peer[0].vm, 16000);
	run_protocol(16000, 22000);
	assert_int_equal(count_state(3, MEMBER_LIVE), VMS);
	/* A late update of the earlier incarnation is ignored. */
	for (int i = 0; i < VMS; i++)
		if (i != 3)
			member_apply_update(
				&table[i],
				&(struct member_vm){.name = "vm3",
						    .incarnation = 1,
						    .state = MEMBER_DEAD},
				22000);
	assert_int_equal(count_state(3, MEMBER_LIVE), VMS);
	finish_all();
}

/* A paused VM that was declared dead refutes it when it resumes, and all VMs
 * see it live again. */
static void test_paused_refutes(void **state)
{
	struct member_event e;
	int refuted = 0;

	(void)state;
	start_all();
	run_protocol(0, 10000);
	up[5] = 0;
	run_protocol(10000, 20000);
	up[5] = 1;
	run_protocol(20000, 26000);
	while (member_pop_event(&table[5], &e))
		refuted += e.refuted_death;
	assert_true(refuted > 0);
	assert_int_equal(count_state(5, MEMBER_LIVE), VMS);
	finish_all();
}

/* A VM must learn that it was declared dead also while so many others change
 * that the events are full, and no other VM's event may say so. */
static void test_refutation_without_room_for_events(void **state)
{
	struct member_vm self = make_vm(0, 1);
	struct member_vm vm;
	struct member_event e;

	(void)state;
	start(0, 1);
	for (int i = 1; i <= MEMBER_EVENTS_MAX; i++) {
		vm = make_vm(i, 1);
		member_apply_update(&table[0], &vm, 0);
	}
	assert_int_equal(table[0].nevent, MEMBER_EVENTS_MAX);
	self.state = MEMBER_DEAD;
	member_apply_update(&table[0], &self, 0);
	assert_int_equal(table[0].refuted_deaths, 1);
	while (member_pop_event(&table[0], &e))
		assert_int_equal(e.refuted_death, 0);
	member_finish(&table[0]);
}

/* All VMs must learn that a VM is leaving, and must not keep it in that state
 * after it has ended. */
static void test_leave_is_told(void **state)
{
	(void)state;
	start_all();
	run_protocol(0, 10000);
	member_leave(&table[9]);
	run_protocol(10000, 12500);
	assert_int_equal(count_state(9, MEMBER_LEAVING), VMS);
	up[9] = 0;
	run_protocol(12500, 18000);
	assert_int_equal(count_state(9, MEMBER_DEAD), VMS - 1);
	finish_all();
}

/* Removing a member moves another one within the table: the rankings and the
 * look-up by name must still be correct afterwards. */
static void test_rank_and_forget(void **state)
{
	int all[VMS];
	int rank[VMS];
	int n;

	(void)state;
	start_all();
	run_protocol(0, 10000);
	n = member_rank(&table[0], NULL, 5, all, VMS);
	assert_int_equal(n, VMS);
	/* All VMs compute the same ranking, whatever the order of their
	 * tables. */
	for (int i = 1; i < VMS; i++) {
		member_rank(&table[i], NULL, 5, rank, VMS);
		for (int k = 0; k < VMS; k++)
			assert_string_equal(table[i].peer[rank[k]].vm.name,
					    table[0].peer[all[k]].vm.name);
	}
	n = member_rank(&table[0], "d1", 5, rank, VMS);
	assert_int_equal(n, 7);
	member_remove(&table[0], "vm1");
	assert_null(member_find(&table[0], "vm1"));
	assert_int_equal(member_rank(&table[0], NULL, 5, all, VMS), VMS - 1);
	for (int i = 2; i < VMS; i++) {
		char name[16];

		snprintf(name, sizeof(name), "vm%d", i);
		assert_string_equal(member_find(&table[0], name)->vm.name,
				    name);
	}
	run_protocol(10000, 12000);
	finish_all();
}

/* Naive position: the members before a peer are those that are earlier in
 * their own region, or as early and of greater weight. */
static int naive_position(const struct member_table *m, int peer,
			  uint64_t topic)
{
	int place[60] = {0};
	int before = 0;

	for (int i = 0; i < m->npeer; i++)
		for (int k = 0; k < m->npeer; k++)
			place[i] +=
				member_is_usable(&m->peer[k]) &&
				!strcmp(m->peer[k].vm.region,
					m->peer[i].vm.region) &&
				prl_hash_combine(m->peer[k].id, topic) >
					prl_hash_combine(m->peer[i].id, topic);
	for (int i = 0; i < m->npeer; i++) {
		if (!member_is_usable(&m->peer[i]))
			continue;
		before += place[i] < place[peer] ||
			  (place[i] == place[peer] &&
			   prl_hash_combine(m->peer[i].id, topic) >
				   prl_hash_combine(m->peer[peer].id, topic));
	}
	return before;
}

static void fill_randomly(struct member_table *m)
{
	const struct member_options o = {100, 500};
	int regions = 1 + rand() % 6;
	int n = 1 + rand() % 50;
	struct member_vm vm = {.name = "self", .region = "r0"};

	member_init(m, &vm, &o, NULL);
	for (int i = 1; i < n; i++) {
		memset(&vm, 0, sizeof(vm));
		snprintf(vm.name, sizeof(vm.name), "vm%d", i);
		snprintf(vm.region, sizeof(vm.region), "r%d", rand() % regions);
		member_apply_update(m, &vm, 0);
		vm.state = rand() % 4 ? MEMBER_LIVE : MEMBER_LEAVING;
		member_apply_update(m, &vm, 0);
	}
}

static void test_spread_rank_as_naive(void **state)
{
	(void)state;
	srand(11);
	for (int run = 0; run < 300; run++) {
		struct member_table m;
		int max = 1 + rand() % MEMBER_SPREAD_MAX;
		int chosen = 0;
		int usable = 0;

		fill_randomly(&m);
		for (int i = 0; i < m.npeer; i++) {
			int rank = member_spread_rank(&m, i, 9, max);
			int naive = naive_position(&m, i, 9);

			usable += member_is_usable(&m.peer[i]);
			chosen += rank < max;
			if (!member_is_usable(&m.peer[i]))
				naive = max;
			assert_int_equal(rank, naive < max ? naive : max);
		}
		assert_int_equal(chosen, usable < max ? usable : max);
		member_finish(&m);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_find_all),
		cmocka_unit_test(test_death_is_known_in_time),
		cmocka_unit_test(test_no_false_death),
		cmocka_unit_test(test_restart_is_another),
		cmocka_unit_test(test_paused_refutes),
		cmocka_unit_test(test_refutation_without_room_for_events),
		cmocka_unit_test(test_leave_is_told),
		cmocka_unit_test(test_rank_and_forget),
		cmocka_unit_test(test_spread_rank_as_naive),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
