/*
 * Launcher of the one-file program.
 *
 * The archive of the program is appended to this executable. On the first start it is
 * unpacked into a private cache folder; then the launcher replaces itself with the
 * unpacked program by execv, so that only one process runs.
 *
 * Trailer: 8 bytes magic, 8 bytes archive offset, 64 bytes hash in hex.
 * Archive entry: u32 mode, u32 path length, u64 size, path, content; little endian.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define MAGIC "GBNDPKG1"
#define HASH_LENGTH 64
#define TRAILER_LENGTH (8 + 8 + HASH_LENGTH)
#define PATH_LENGTH 4096
#define PROGRAM "geraniumbend"

static void fail(const char *cause, const char *path)
{
    fprintf(stderr, "error: %s %s: %s; set GERANIUMBEND_CACHE to a writable folder\n",
            cause, path, strerror(errno));
    exit(7);
}

static void join(char *target, const char *folder, const char *name)
{
    if (snprintf(target, PATH_LENGTH, "%s/%s", folder, name) >= PATH_LENGTH) {
        errno = ENAMETOOLONG;
        fail("cannot use", folder);
    }
}

static void make_private_folder(const char *path)
{
    struct stat status;
    if (mkdir(path, 0700) != 0 && errno != EEXIST)
        fail("cannot create", path);
    if (lstat(path, &status) != 0)
        fail("cannot inspect", path);
    if (!S_ISDIR(status.st_mode) || status.st_uid != geteuid()
        || (status.st_mode & 022)) {
        errno = EPERM;
        fail("folder is not private:", path);
    }
}

static void make_parents(char *path, size_t root_length)
{
    for (char *slash = strchr(path + root_length + 1, '/'); slash;
         slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0700) != 0 && errno != EEXIST)
            fail("cannot create", path);
        *slash = '/';
    }
}

static void copy_file(FILE *source, const char *path, uint64_t size, mode_t mode)
{
    static char buffer[1 << 20];
    int target = open(path, O_WRONLY | O_CREAT | O_EXCL, mode);
    if (target < 0)
        fail("cannot create", path);
    while (size > 0) {
        size_t wanted = size < sizeof buffer ? size : sizeof buffer;
        if (fread(buffer, 1, wanted, source) != wanted)
            fail("cannot read the archive for", path);
        for (size_t done = 0; done < wanted;) {
            ssize_t count = write(target, buffer + done, wanted - done);
            if (count < 0)
                fail("cannot write", path);
            done += (size_t)count;
        }
        size -= wanted;
    }
    if (close(target) != 0)
        fail("cannot write", path);
}

static void unpack(FILE *source, long end, const char *folder)
{
    char name[PATH_LENGTH], path[PATH_LENGTH];
    while (ftell(source) < end) {
        uint32_t mode, length;
        uint64_t size;
        if (fread(&mode, 4, 1, source) != 1 || fread(&length, 4, 1, source) != 1
            || fread(&size, 8, 1, source) != 1 || length >= PATH_LENGTH
            || fread(name, 1, length, source) != length)
            fail("archive is damaged in", folder);
        name[length] = '\0';
        join(path, folder, name);
        make_parents(path, strlen(folder));
        copy_file(source, path, size, (mode_t)mode);
    }
}

int main(int argc, char **argv)
{
    char trailer[TRAILER_LENGTH], hash[HASH_LENGTH + 1], root[PATH_LENGTH];
    char folder[PATH_LENGTH], program[PATH_LENGTH], temporary[PATH_LENGTH];
    uint64_t offset;
    FILE *source = fopen("/proc/self/exe", "rb");
    (void)argc;
    if (!source || fseek(source, -TRAILER_LENGTH, SEEK_END) != 0)
        fail("cannot read", "/proc/self/exe");
    long end = ftell(source);
    if (fread(trailer, 1, TRAILER_LENGTH, source) != TRAILER_LENGTH
        || memcmp(trailer, MAGIC, 8) != 0)
        fail("no archive in", "/proc/self/exe");
    memcpy(&offset, trailer + 8, 8);
    memcpy(hash, trailer + 16, HASH_LENGTH);
    hash[HASH_LENGTH] = '\0';

    const char *cache = getenv("GERANIUMBEND_CACHE");
    if (cache)
        snprintf(root, sizeof root, "%s", cache);
    else
        snprintf(root, sizeof root, "/var/tmp/geraniumbend-%u", (unsigned)geteuid());
    make_private_folder(root);
    join(folder, root, hash);
    join(program, folder, PROGRAM);
    if (access(program, X_OK) != 0) {
        char suffix[32];
        snprintf(suffix, sizeof suffix, "unpack-%ld", (long)getpid());
        join(temporary, root, suffix);
        make_private_folder(temporary);
        fseek(source, (long)offset, SEEK_SET);
        unpack(source, end, temporary);
        /* Another process may have unpacked the archive first; its copy is identical. */
        if (rename(temporary, folder) != 0 && access(program, X_OK) != 0)
            fail("cannot rename to", folder);
    }
    fclose(source);
    execv(program, argv);
    fail("cannot run", program);
    return 7;
}
