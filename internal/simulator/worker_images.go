package simulator

import (
	"slices"
	"time"
)

// imageCache is the image cache of a machine, and the fetches in progress.
type imageCache struct {
	recency     []string           // cached images, the most recently used last
	sizesGB     map[string]float64 // of the cached images
	remainingGB map[string]float64 // of the images that are being fetched
}

func newImageCache() imageCache {
	return imageCache{sizesGB: map[string]float64{}, remainingGB: map[string]float64{}}
}

func (c *imageCache) cancelFetches() { c.remainingGB = map[string]float64{} }

// beginFetch notes that an image is needed. A cached one needs no transfer.
func (c *imageCache) beginFetch(image string, sizeGB float64) {
	if _, fetching := c.remainingGB[image]; fetching {
		return
	}
	if _, cached := c.sizesGB[image]; cached {
		sizeGB = 0
	}
	c.remainingGB[image] = sizeGB
}

// cancelUnwanted gives up the fetches that no attempt waits for.
func (c *imageCache) cancelUnwanted(waiting map[string][]attempt) {
	for image := range c.remainingGB {
		if waiting[image] == nil {
			delete(c.remainingGB, image)
		}
	}
}

// nextComplete is the image among those being fetched that will be complete first, and
// how many of them are still transferred.
func (c *imageCache) nextComplete(images []string) (next string, transfers int) {
	next = images[0]
	for _, image := range images {
		if c.remainingGB[image] < c.remainingGB[next] {
			next = image
		}
		if c.remainingGB[image] > 0 {
			transfers++
		}
	}
	return next, transfers
}

// transfer continues the fetch of images at a rate, which is that of each.
func (c *imageCache) transfer(images []string, gbPerSecond float64, duration time.Duration) {
	for _, image := range images {
		c.remainingGB[image] = max(0, c.remainingGB[image]-gbPerSecond*duration.Seconds())
	}
}

// timeToComplete is how long the fetch of an image takes at a rate.
func (c *imageCache) timeToComplete(image string, gbPerSecond float64) time.Duration {
	if c.remainingGB[image] <= 0 {
		return 0
	}
	return time.Duration(c.remainingGB[image] / gbPerSecond * float64(time.Second))
}

// add caches an image as the most recently used, and evicts the least recently used
// images that are not in use while the cache is over its capacity. A capacity of 0 means
// no limit.
func (c *imageCache) add(image string, sizeGB, capacityGB float64, inUse map[string]bool) {
	c.recency = append(slices.DeleteFunc(c.recency, func(other string) bool { return other == image }), image)
	c.sizesGB[image] = sizeGB
	totalGB := 0.0
	for _, cached := range c.recency {
		totalGB += c.sizesGB[cached]
	}
	c.recency = slices.DeleteFunc(c.recency, func(cached string) bool {
		if capacityGB <= 0 || totalGB <= capacityGB || cached == image || inUse[cached] {
			return false
		}
		totalGB -= c.sizesGB[cached]
		delete(c.sizesGB, cached)
		return true
	})
}

// imagesInUse are the images of running attempts.
func (w *Worker) imagesInUse() map[string]bool {
	inUse := map[string]bool{}
	for key, task := range w.tasks {
		if task.state == taskRunning {
			inUse[w.checker.JobOfTask(key.task).Image] = true
		}
	}
	return inUse
}

// advanceFetches continues fetches up to a time and starts the attempts whose image is
// complete. An image is fetched once for all attempts that wait for it, and images that
// are fetched at the same time share the machine's rate.
func (w *Worker) advanceFetches(now time.Duration) (changed bool) {
	at := w.advancedTo
	w.advancedTo = max(at, now)
	for {
		images, waiting := w.fetchingAttempts()
		w.images.cancelUnwanted(waiting)
		if len(images) == 0 {
			return changed
		}
		next, transfers := w.images.nextComplete(images)
		rate := w.MachineType.FetchGBPerS / float64(max(1, transfers))
		needed := w.images.timeToComplete(next, rate)
		step := min(needed, max(0, now-at))
		w.images.transfer(images, rate, step)
		at += step
		if step < needed {
			return changed
		}
		changed = true
		delete(w.images.remainingGB, next)
		for _, key := range waiting[next] {
			w.startTask(at, key)
		}
	}
}

// fetchingAttempts are the attempts that wait for each image, and these images in the
// order of their first attempts. Images that are new among them begin to be fetched.
func (w *Worker) fetchingAttempts() (images []string, waiting map[string][]attempt) {
	waiting = map[string][]attempt{}
	for _, key := range w.sortedAttempts() {
		if w.tasks[key].state != taskFetching {
			continue
		}
		job := w.checker.JobOfTask(key.task)
		if waiting[job.Image] == nil {
			images = append(images, job.Image)
		}
		waiting[job.Image] = append(waiting[job.Image], key)
		w.images.beginFetch(job.Image, job.ImageGB)
	}
	return images, waiting
}
