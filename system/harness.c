#include "harness.h"
#include <curl/curl.h>
#include <fcntl.h>
#include <primroselead/clock.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

/* Part of the log of a crashed process that is printed, in bytes. */
#define LOG_END_BYTES 4096

static char bin_dir[512];
static char work_dir[64];
/* Processes that run; pid 0 marks a free entry. */
static struct {
	pid_t pid;
	/** Name of its log file in the work directory. */
	char log[80];
} processes[PROCESSES_MAX];
static int nprocess;

void harness_init(const char *argv0)
{
	char *slash;

	snprintf(bin_dir, sizeof(bin_dir), "%s", argv0);
	/* The test is build/MODE/test/system/PROGRAM; binaries are in
	 * build/MODE/bin. */
	for (int i = 0; i < 3; i++) {
		slash = strrchr(bin_dir, '/');
		if (slash)
			*slash = 0;
	}
	strncat(bin_dir, "/bin", sizeof(bin_dir) - strlen(bin_dir) - 1);
	strcpy(work_dir, "/tmp/primroselead-XXXXXX");
	if (!mkdtemp(work_dir))
		abort();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
}

/* Prints how a process ended that nobody has ended, and the end of its log. */
static void report_crash(const char *log, int status)
{
	char text[LOG_END_BYTES + 1];
	FILE *f = fopen(harness_path(log), "r");
	size_t n = 0;

	fprintf(stderr, "%s: the process ended by itself: %s %d\n", log,
		WIFSIGNALED(status) ? "signal" : "status",
		WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
	if (!f)
		return;
	if (fseek(f, -LOG_END_BYTES, SEEK_END))
		rewind(f);
	n = fread(text, 1, LOG_END_BYTES, f);
	fclose(f);
	text[n] = 0;
	fprintf(stderr, "%s\n", text);
}

void harness_finish(void)
{
	int status;

	if (getenv("KEEP"))
		fprintf(stderr, "kept %s\n", work_dir);
	for (int i = 0; i < PROCESSES_MAX; i++) {
		if (!processes[i].pid)
			continue;
		if (waitpid(processes[i].pid, &status, WNOHANG) ==
		    processes[i].pid) {
			processes[i].pid = 0;
			if (status)
				report_crash(processes[i].log, status);
			continue;
		}
		kill(processes[i].pid, SIGCONT);
		harness_kill(processes[i].pid, SIGKILL);
	}
	nprocess = 0;
}

const char *harness_path(const char *name)
{
	static char path[4][256];
	static int next;

	next = (next + 1) % 4;
	snprintf(path[next], sizeof(path[next]), "%s/%s", work_dir, name);
	return path[next];
}

void harness_write_file(const char *name, const char *text)
{
	FILE *f = fopen(harness_path(name), "w");

	if (!f || fputs(text, f) < 0 || fclose(f))
		abort();
}

static void exec_program(const char *program, const char *const *args)
{
	const char *argv[32] = {program};
	char path[600];

	/* If the test program crashes, its children must not go on to occupy
	 * the ports that the next test needs. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	/* A caller's connection that a child also holds does not end when the
	 * caller closes it. */
	close_range(STDERR_FILENO + 1, ~0U, 0);
	for (int i = 0; i < 30 && args[i]; i++)
		argv[i + 1] = args[i];
	snprintf(path, sizeof(path), "%s/%s", bin_dir, program);
	execv(path, (char *const *)argv);
	_exit(127);
}

static void remember_process(pid_t pid, const char *log)
{
	for (int i = 0; i < PROCESSES_MAX; i++)
		if (!processes[i].pid) {
			processes[i].pid = pid;
			snprintf(processes[i].log, sizeof(processes[i].log),
				 "%s", log);
			return;
		}
	fprintf(stderr, "more than %d processes at a time\n", PROCESSES_MAX);
	abort();
}

pid_t harness_spawn(const char *program, const char *const *args)
{
	char name[80];
	pid_t pid;
	int out;

	snprintf(name, sizeof(name), "%s-%d.log", program, nprocess);
	out = open(harness_path(name), O_CREAT | O_WRONLY | O_APPEND, 0600);
	pid = fork();
	if (!pid) {
		dup2(out, 1);
		dup2(out, 2);
		exec_program(program, args);
	}
	close(out);
	remember_process(pid, name);
	nprocess++;
	return pid;
}

static void forget_process(pid_t pid)
{
	for (int i = 0; i < PROCESSES_MAX; i++)
		if (processes[i].pid == pid)
			processes[i].pid = 0;
}

int harness_wait(pid_t pid)
{
	int status = 0;

	waitpid(pid, &status, 0);
	forget_process(pid);
	if (WIFSIGNALED(status))
		return -WTERMSIG(status);
	return WEXITSTATUS(status);
}

int harness_has_ended(pid_t pid)
{
	if (waitpid(pid, NULL, WNOHANG) != pid)
		return 0;
	forget_process(pid);
	return 1;
}

int harness_kill(pid_t pid, int sig)
{
	kill(pid, sig);
	return harness_wait(pid);
}

/* Processes to be signalled by the timer; 0 where there is none. */
static pid_t later_pid[2];
static int later_signal;

static void signal_now(int sig)
{
	(void)sig;
	for (size_t i = 0; i < sizeof(later_pid) / sizeof(later_pid[0]); i++)
		if (later_pid[i])
			kill(later_pid[i], later_signal);
}

void harness_signal_later(pid_t a, pid_t b, int sig, int delay_ms)
{
	struct itimerval timer = {
		.it_value = {.tv_sec = delay_ms / 1000,
			     .tv_usec = delay_ms % 1000 * 1000}};
	struct sigaction action = {.sa_handler = signal_now,
				   .sa_flags = SA_RESTART};

	later_pid[0] = a;
	later_pid[1] = b;
	later_signal = sig;
	sigaction(SIGALRM, &action, NULL);
	setitimer(ITIMER_REAL, &timer, NULL);
}

int harness_run(char *out, size_t size, const char *program, ...)
{
	const char *args[32];
	int fds[2];
	size_t len = 0;
	int n = 0;
	ssize_t k;
	va_list ap;
	pid_t pid;

	va_start(ap, program);
	while (n < 30 && (args[n] = va_arg(ap, const char *)))
		n++;
	args[n] = NULL;
	va_end(ap);
	if (pipe(fds))
		abort();
	pid = fork();
	if (!pid) {
		dup2(fds[1], 1);
		dup2(fds[1], 2);
		close(fds[0]);
		close(fds[1]);
		exec_program(program, args);
	}
	close(fds[1]);
	while (len < size - 1 &&
	       (k = read(fds[0], out + len, size - 1 - len)) > 0)
		len += (size_t)k;
	out[len] = 0;
	close(fds[0]);
	return harness_wait(pid);
}

int64_t harness_json_int(const char *json, const char *key)
{
	char pattern[64];
	const char *at;

	snprintf(pattern, sizeof(pattern), "\"%s\":", key);
	at = strstr(json, pattern);
	return at ? strtoll(at + strlen(pattern), NULL, 10) : -1;
}

void harness_sleep_ms(int ms)
{
	usleep((useconds_t)ms * 1000);
}

int64_t harness_metric(int http_port, const char *name)
{
	static char text[65536];
	char pattern[80];
	char url[80];
	const char *at;

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/-/metrics", http_port);
	harness_get(url, text, sizeof(text));
	snprintf(pattern, sizeof(pattern), "primroselead_%s ", name);
	at = strstr(text, pattern);
	return at ? strtoll(at + strlen(pattern), NULL, 10) : -1;
}

int fleet_wait_text(const char *url, const char *text, int timeout_ms)
{
	int64_t deadline_ms = prl_now_ms() + timeout_ms;
	static char body[262144];

	do {
		if (harness_get(url, body, sizeof(body)) && strstr(body, text))
			return 1;
		harness_sleep_ms(20);
	} while (prl_now_ms() < deadline_ms);
	return 0;
}

pid_t fleet_start_store(int port)
{
	char listen[64];
	char url[80];
	const char *args[] = {listen, NULL};
	pid_t pid;

	snprintf(listen, sizeof(listen), "--listen=127.0.0.1:%d", port);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/stats", port);
	pid = harness_spawn("standin-store", args);
	if (!fleet_wait_text(url, "revision", 5000))
		abort();
	return pid;
}

pid_t fleet_start_upstream(int port, int slots)
{
	char listen[64];
	char count[32];
	char url[80];
	const char *args[] = {listen, count, NULL};
	pid_t pid;

	snprintf(listen, sizeof(listen), "--listen=127.0.0.1:%d", port);
	snprintf(count, sizeof(count), "--slots=%d", slots);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/stats", port);
	pid = harness_spawn("standin-upstream", args);
	if (!fleet_wait_text(url, "ran", 5000))
		abort();
	return pid;
}

pid_t fleet_start_vm(const struct vm_config *vm)
{
	char text[2048];
	char name[32];
	char option[300];
	const char *args[] = {option, NULL};

	snprintf(name, sizeof(name), "vm%d.ini", vm->number);
	snprintf(text, sizeof(text),
		 "[vm]\nname = vm%d\nregion = %s\ndomain = %s\n"
		 "[listen]\nhttp = 127.0.0.1:%d\nrpc = 127.0.0.1:%d\n%s"
		 "[store]\naddress = 127.0.0.1:%d\ntimeout = 1000\n"
		 "[seed a]\naddress = 127.0.0.1:%d\n"
		 "[seed b]\naddress = 127.0.0.1:%d\n%s",
		 vm->number, vm->region, vm->domain, vm->port_base + vm->number,
		 vm->port_base + 100 + vm->number,
		 vm->extra_listen_lines ? vm->extra_listen_lines : "",
		 vm->store_port, vm->port_base + 101, vm->port_base + 102,
		 vm->extra_settings ? vm->extra_settings
				    : "[control]\ndrain = 500\n");
	harness_write_file(name, text);
	snprintf(option, sizeof(option), "--settings=%s", harness_path(name));
	return harness_spawn(vm->program ? vm->program : "primroseleadd", args);
}

int fleet_wait_revision(int http_port, int64_t revision, int timeout_ms)
{
	static char text[262144];
	int64_t deadline_ms = prl_now_ms() + timeout_ms;
	char url[80];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/-/status", http_port);
	do {
		if (harness_get(url, text, sizeof(text)) == 200 &&
		    harness_json_int(text, "revision") >= revision &&
		    strstr(text, "\"state\":\"live\",\"region\""))
			return 1;
		harness_sleep_ms(20);
	} while (prl_now_ms() < deadline_ms);
	return 0;
}

long harness_peak_kb(pid_t pid)
{
	char path[64];
	char line[128];
	long kb = -1;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f))
		if (!strncmp(line, "VmHWM:", 6))
			sscanf(line + 6, "%ld", &kb);
	if (f)
		fclose(f);
	return kb;
}
